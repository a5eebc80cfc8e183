// Many simulated nodes under virtual time: their fleet watchers and peer messages, over a network
// with delay, loss and partitions, and one shared store.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "discovery/fleet_watcher.h"
#include "gateway_node/peer_exchange.h"
#include "logging/logger.h"
#include "shared_store/era_tracker.h"
#include "simulation/virtual_time.h"
#include "tests/plain_codec.h"
#include "wire/codec.h"

namespace ochrespring::gateway_node::testing {

using namespace std::chrono_literals;

/// Reads the plain documents of the discovery tests; every back end is a decode engine.
class EngineCodec final : public discovery::FleetCodec {
 public:
  const discovery::StoreLayout& layout() const override { return plain_.layout(); }
  Result<gateway::Configuration, discovery::CodecError> read_configuration(
      std::string_view value) const override {
    return plain_.read_configuration(value);
  }
  Result<gateway::Backend, discovery::CodecError> read_backend(
      std::string_view id, std::string_view value) const override {
    auto backend = plain_.read_backend(id, value);
    if (!backend) {
      return backend;
    }
    backend.value().role = gateway::EngineRole::kDecode;
    return backend;
  }

 private:
  discovery::testing::PlainCodec plain_;
};

/// Contents and history of the shared store, and counts of the calls to it.
struct FakeStoreState {
  void put(const std::string& key, std::optional<std::string> value) {
    ++revision;
    items[key] = {key, std::move(value), current_revision()};
    history.push_back(items[key]);
  }
  /// Drops the history of changes, as a store does that compacts it.
  void discard_history() {
    discarded_through = current_revision();
    history.clear();
    std::erase_if(items, [](const auto& item) { return !item.second.value; });
  }

  /// A backup that the store can be restored from.
  struct Copy {
    std::uint64_t revision = 0;
    std::map<std::string, shared_store::Change> items;
  };
  Copy copy() const { return {revision, items}; }
  /// Restores the store from an older copy. Revisions above the copy's are assigned again.
  void roll_back_to(const Copy& copy) {
    era = names_era ? era.next() : era;
    revision = copy.revision;
    items = copy.items;
    for (auto& [key, item] : items) {
      item.revision = shared_store::StoreRevision(item.revision.value(), era);
    }
    discard_history();
  }
  shared_store::StoreRevision current_revision() const {
    return shared_store::StoreRevision(revision, era);
  }
  /// Whether the changes after a revision are available: not discarded, and the revision not in the
  /// future.
  bool has_changes_after(shared_store::StoreRevision after) const {
    return after >= discarded_through && after <= current_revision();
  }

  /// The changes after a revision, in the order of writing.
  shared_store::Changes changes_after(shared_store::StoreRevision after) const {
    const auto first = std::upper_bound(history.begin(), history.end(), after,
                                        [](shared_store::StoreRevision bound, const auto& change) {
                                          return bound < change.revision;
                                        });
    return {.changes = {first, history.end()}};
  }

  shared_store::StoreEra era;
  bool names_era = true;  ///< Whether answers carry the era. If not, each node infers it.
  std::uint64_t revision = 0;
  std::map<std::string, shared_store::Change> items;  ///< Without a value: deleted.
  std::vector<shared_store::Change> history;          ///< Ordered by revision.
  shared_store::StoreRevision discarded_through;
  bool down = false;
  std::uint64_t reads = 0;    ///< Successful reads.
  std::uint64_t refused = 0;  ///< Calls while it was down or rejected the node.
};

/// The connection of one node to the store.
class NodeStoreClient final : public shared_store::SharedStore {
 public:
  NodeStoreClient(simulation::VirtualTime& time, FakeStoreState& state, const bool& cut_off,
                  const bool& rejected_by_store, std::uint32_t link_mbps)
      : time_(time),
        state_(state),
        cut_off_(cut_off),
        rejected_by_store_(rejected_by_store),
        link_mbps_(link_mbps) {}

  void list(const std::string& /*prefix*/,
            shared_store::StoreCallback<shared_store::Listing> done) override {
    answer<shared_store::Listing>(std::move(done), [] { return shared_store::Listing(); });
  }
  void list_page(const shared_store::PageRequest& request,
                 shared_store::StoreCallback<shared_store::ListPage> done) override {
    answer<shared_store::ListPage>(std::move(done), [this, request] {
      shared_store::ListPage page;
      page.revision = state_.current_revision();
      for (auto item = state_.items.upper_bound(request.after); item != state_.items.end();
           ++item) {
        if (!item->second.value || !item->first.starts_with(request.prefix)) {
          continue;
        }
        page.more = page.items.size() == kPageItems;
        if (page.more) {
          break;
        }
        page.items.push_back(item->second);
      }
      return page;
    });
  }
  void changes(const std::string& /*prefix*/, shared_store::StoreRevision after, Duration /*wait*/,
               shared_store::StoreCallback<shared_store::Changes> done) override {
    answer<shared_store::Changes>(
        std::move(done), [this, after] { return state_.changes_after(to_store_revision(after)); },
        [this, after] { return !state_.has_changes_after(to_store_revision(after)); }, after);
  }
  void put(const std::string&, const std::string&, std::optional<shared_store::LeaseId>,
           shared_store::StoreCallback<shared_store::StoreRevision>) override {}
  void commit(const shared_store::Transaction&,
              shared_store::StoreCallback<shared_store::StoreRevision>) override {}
  void get(const std::string& key,
           shared_store::StoreCallback<shared_store::Change> done) override {
    answer<shared_store::Change>(std::move(done), [this, key] { return state_.items.at(key); });
  }
  void grant_lease(Duration, shared_store::StoreCallback<shared_store::LeaseId>) override {}
  void renew_lease(shared_store::LeaseId,
                   shared_store::StoreCallback<shared_store::LeaseId>) override {}
  void end_lease(shared_store::LeaseId,
                 shared_store::StoreCallback<shared_store::LeaseId>) override {}
  void observe_revision(shared_store::StoreRevision revision) override {
    eras_.observe_revision(revision);
  }
  void begin_era_after(shared_store::StoreEra ended) override { eras_.begin_era_after(ended); }
  bool names_era() const override { return state_.names_era; }

 private:
  using Revision = shared_store::StoreRevision;

  static constexpr std::size_t kPageItems = 200;
  static constexpr double kItemBytes = 350;  ///< Size of an item in an answer.
  static constexpr Duration kAnswerTime{4ms};
  static constexpr Duration kTimeout{1s};

  /// Answers a call after `kAnswerTime`. `history_unavailable` tells, at the time of the answer,
  /// whether the requested history is unavailable. `after` is the start of the requested changes,
  /// if any.
  template <class T>
  void answer(
      shared_store::StoreCallback<T> done, std::function<T()> make,
      std::function<bool()> history_unavailable = [] { return false; },
      std::optional<Revision> after = {}) {
    if (cut_off_) {
      time_.schedule_after(
          kTimeout, [done] { done(fail(shared_store::StoreErrc::kUnknownEffect, "no answer")); });
      return;
    }
    if (after) {
      eras_.observe_revision(*after);
    }
    time_.schedule_after(
        kAnswerTime, [this, done, make, history_unavailable, after, sent = eras_.on_send()] {
          if (state_.down || rejected_by_store_) {
            ++state_.refused;
            done(fail(shared_store::StoreErrc::kNotExecuted, "store unavailable"));
            return;
          }
          ++state_.reads;
          if (history_unavailable()) {
            done(fail(shared_store::StoreErrc::kHistoryUnavailable, "history unavailable"));
            return;
          }
          T answer = make();
          if (!state_.names_era) {
            const shared_store::StoreEra era = eras_.on_answer(sent, {{}, revision_of(answer)});
            if (after && era != after->era()) {
              done(fail(shared_store::StoreErrc::kHistoryUnavailable, "another era"));
              return;
            }
            set_era(answer, era);
          }
          const Duration transfer =
              from_seconds(item_count(answer) * kItemBytes * 8 / (1e6 * link_mbps_));
          time_.schedule_after(
              transfer, [done, answer = std::move(answer)]() mutable { done(std::move(answer)); });
        });
  }
  /// The revision in the store's own era: a store that names no era does not know the inferred
  /// ones.
  Revision to_store_revision(Revision revision) const {
    return state_.names_era ? revision : Revision(revision.value(), state_.era);
  }
  static std::optional<std::uint64_t> revision_of(const shared_store::ListPage& page) {
    return page.revision.value();
  }
  template <class T>
  static std::optional<std::uint64_t> revision_of(const T& /*answer*/) {
    return std::nullopt;
  }
  static void set_era(shared_store::Change& change, shared_store::StoreEra era) {
    change.revision = Revision(change.revision.value(), era);
  }
  static void set_era(shared_store::Listing& /*listing*/, shared_store::StoreEra /*era*/) {}
  static void set_era(shared_store::ListPage& page, shared_store::StoreEra era) {
    page.revision = Revision(page.revision.value(), era);
    for (shared_store::Change& item : page.items) {
      set_era(item, era);
    }
  }
  static void set_era(shared_store::Changes& changes, shared_store::StoreEra era) {
    for (shared_store::Change& change : changes.changes) {
      set_era(change, era);
    }
  }
  static double item_count(const shared_store::Listing& listing) {
    return static_cast<double>(listing.items.size());
  }
  static double item_count(const shared_store::ListPage& page) {
    return static_cast<double>(page.items.size());
  }
  static double item_count(const shared_store::Changes& changes) {
    return static_cast<double>(changes.changes.size());
  }
  static double item_count(const shared_store::Change&) { return 1; }

  simulation::VirtualTime& time_;
  FakeStoreState& state_;
  const bool& cut_off_;
  const bool& rejected_by_store_;
  std::uint32_t link_mbps_;
  shared_store::EraTracker eras_;  ///< Infers the eras of a store that names none.
};

class LargeFleet;

struct FleetNode {
  FleetNode(LargeFleet& fleet, int number, const std::string& zone);

  void start() { watcher.start(); }
  /// First step of a planned stop: announces the stop to the other nodes. The registration stays in
  /// the store, as when the store does not answer.
  void leave() {
    leaving = true;
    nodes.leave();
    // After a restart under the same name, notices of the old process must not carry the revision
    // of the new registration.
    news.announce_leaving([this, known = registered] {
      return leaving ? std::max(known, nodes.own_registration_revision()) : known;
    });
  }

  bool cut_off = false;            ///< Disconnected from the store and all other nodes.
  bool rejected_by_store = false;  ///< The store alone refuses its calls.
  bool leaving = false;            ///< Until a process starts under the same name.
  SeededRandom random;
  discovery::NodeRecord record;
  shared_store::StoreRevision registered;  ///< Of its last registration.
  discovery::NodeDirectory nodes;
  gateway::FleetState view;
  gateway::LoadTable loads;
  NodeStoreClient store;
  discovery::FleetWatcher watcher;
  PeerExchange news;
};

/// Nodes in five zones that share a store, to which back ends write one heartbeat every 15 ms.
class LargeFleet {
 public:
  static constexpr int kEngines = 80;
  static constexpr const char* kZones[] = {"a", "b", "c", "d", "e"};

  explicit LargeFleet(int node_count, double loss = 0.01, int engines = kEngines)
      : loss_(loss), engines_(engines) {
    state.put("config", "1");
    for (int i = 0; i != engines; ++i) {
      state.put("backends/e" + std::to_string(i), "ready");
    }
    for (int i = 0; i != node_count; ++i) {
      nodes.push_back(std::make_unique<FleetNode>(*this, i, kZones[i % 5]));
    }
    heartbeat();
  }

  /// Kills all processes and starts them again, without any state.
  void restart() {
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      retired_.push_back(std::move(nodes[i]));
      retired_.back()->cut_off = true;
      nodes[i] = std::make_unique<FleetNode>(*this, static_cast<int>(i), kZones[i % 5]);
    }
    start();
  }

  /// Kills one process and starts it again.
  void restart(std::size_t index) {
    retired_.push_back(std::move(nodes[index]));
    retired_.back()->cut_off = true;
    nodes[index] = std::make_unique<FleetNode>(*this, static_cast<int>(index), kZones[index % 5]);
    register_node(*nodes[index]);
    nodes[index]->start();
  }

  /// Starts and registers all nodes within 0.3 s.
  void start() {
    for (const auto& node : nodes) {
      time.schedule_after(random.below(300) * 1ms, [this, &node = *node] {
        register_node(node);
        node.start();
      });
    }
    advance(6s);
  }
  void register_node(FleetNode& node) {
    node.leaving = false;
    state.put("nodes/" + node.record.node.value(), wire::encode(node.record));
    node.registered = state.current_revision();
  }
  void advance(Duration span) { time.run_until(time.now() + span); }
  void deliver_datagram(const FleetNode& from, const Endpoint& to, std::string_view bytes) {
    ++datagrams;
    if (random.chance(loss_) || from.cut_off || !enqueue_on_link(from, bytes.size())) {
      return;
    }
    time.schedule_after(from_seconds(0.001 + 0.001 * random.unit()),
                        [this, to, bytes = std::string(bytes)] {
                          FleetNode* node = find(to);
                          if (node != nullptr && !node->cut_off) {
                            node->news.receive(bytes);
                          }
                        });
  }
  /// Transfers a view over a stream: slower than a datagram, and completely or not at all.
  void fetch_view(const FleetNode& asker, const discovery::ViewRequest& request,
                  discovery::TransferCallback done) {
    FleetNode* node = find(request.holder);
    const bool reached = node != nullptr && !node->cut_off && !asker.cut_off;
    time.schedule_after(
        reached ? Duration(10ms) : Duration(500ms), [this, node, reached, request, done] {
          auto transfer = reached ? node->watcher.make_transfer(request.after) : std::nullopt;
          if (transfer) {
            fetched_bytes += wire::encode(*transfer).size();
          }
          done(std::move(transfer));
        });
  }
  /// Fetches the view of a random node that the asker knows.
  void fetch_from_any(FleetNode& asker, discovery::TransferCallback done);
  FleetNode* find(const Endpoint& address) {
    const auto found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : found->second;
  }
  void register_address(FleetNode& node) { by_address_[node.record.peer_address] = &node; }
  /// Number of nodes that fulfil the condition.
  template <class Condition>
  std::size_t count(const Condition& condition) const {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [&](const auto& node) { return condition(*node); }));
  }
  std::size_t count_with_version(std::uint64_t version) const {
    return count([&](const FleetNode& node) {
      return node.view.routes() && node.view.routes()->configuration().version.value() == version;
    });
  }

  simulation::VirtualTime time;
  SeededRandom random{17};
  FakeStoreState state;
  EngineCodec codec;
  logging::NullLogger logger;
  bool heartbeats_enabled = true;  ///< Of the back ends.
  std::uint64_t datagrams = 0;
  std::uint64_t dropped = 0;        ///< Datagrams dropped at full links.
  std::uint64_t fetched_bytes = 0;  ///< Over streams, uncompressed.
  std::vector<std::unique_ptr<FleetNode>> nodes;

 private:
  /// Adds a datagram to the queue of the sender's link; returns false if the queue is full.
  bool enqueue_on_link(const FleetNode& from, std::size_t bytes) {
    constexpr Duration kMaxQueueDelay = 15ms;
    MonotonicTime& free_at = link_free_at_[&from];
    free_at = std::max(free_at, time.now());
    if (free_at - time.now() > kMaxQueueDelay) {
      ++dropped;
      return false;
    }
    free_at += from_seconds(static_cast<double>(bytes) * 8 / (1e6 * from.record.link_mbps));
    return true;
  }

  /// Every 15 ms, the next back end writes its unchanged entry.
  void heartbeat() {
    const std::string key = "backends/e" + std::to_string(heartbeat_index_++ % engines_);
    const auto known = state.items.at(key).value;
    if (known && heartbeats_enabled) {
      state.put(key, known);
    }
    time.schedule_after(15ms, [this] { heartbeat(); });
  }

  double loss_;
  int engines_;
  int heartbeat_index_ = 0;
  std::map<const FleetNode*, MonotonicTime> link_free_at_;
  std::vector<std::unique_ptr<FleetNode>> retired_;  ///< Timers may still refer to them.
  std::map<Endpoint, FleetNode*> by_address_;
};

inline void LargeFleet::fetch_from_any(FleetNode& asker, discovery::TransferCallback done) {
  const auto& others = asker.nodes.others();
  if (others.empty()) {
    done(std::nullopt);
    return;
  }
  const auto chosen =
      std::next(others.begin(), static_cast<std::ptrdiff_t>(asker.random.below(others.size())));
  fetch_view(asker, {chosen->second.view_address, std::nullopt}, std::move(done));
}

/// The first three nodes are the seeds, which list the store immediately.
inline discovery::FleetWatcherSettings settings_for_node(int number) {
  discovery::FleetWatcherSettings settings = discovery::settings_for_staleness_bound(4s);
  settings.lists_immediately = number < 3;
  return settings;
}

inline FleetNode::FleetNode(LargeFleet& fleet, int number, const std::string& zone)
    : random(static_cast<std::uint64_t>(number) + 1),
      record{NodeId("n" + std::to_string(number)),
             Endpoint("front"),
             ZoneName(zone),
             Endpoint("n" + std::to_string(number)),
             number % 13 == 0 ? 200U : 20U,
             Endpoint("n" + std::to_string(number))},
      nodes(fleet.time, record),
      store(fleet.time, fleet.state, cut_off, rejected_by_store, record.link_mbps),
      watcher({fleet.time, fleet.time, random, store, fleet.codec, fleet.logger},
              settings_for_node(number), view, nodes),
      news(
          {fleet.time, fleet.time, random, view, loads, nodes, watcher},
          {.peer_address = record.peer_address,
           .view_address = record.peer_address,
           .relays = {.min_nodes = 48},
           .relay_batch_window = 10ms},
          [this, &fleet](const Endpoint& to, std::string_view bytes) {
            fleet.deliver_datagram(*this, to, bytes);
          },
          [](const Endpoint&) {}) {
  fleet.register_address(*this);
  watcher.on_fetch_needed([this, &fleet](const auto& request, auto done) {
    fleet.fetch_view(*this, request, std::move(done));
  });
  watcher.on_view_needed(
      [this, &fleet](auto done) { fleet.fetch_from_any(*this, std::move(done)); });
  watcher.on_reading_assignment([this] { return news.channel().reading_assignment(); });
  watcher.on_store_state([this](bool reachable) { news.on_store_state(reachable); });
}

}  // namespace ochrespring::gateway_node::testing
