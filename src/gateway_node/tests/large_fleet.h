// Many nodes under virtual time: their watchers and their news over a network that delays, loses
// and cuts, before one store.
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

/// The tests' plain documents, with every back end a model engine.
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

/// Keys of the store, their changes, and how often it was read.
struct StoreState {
  void put(const std::string& key, std::optional<std::string> value) {
    ++revision;
    items[key] = {key, std::move(value), now()};
    history.push_back(items[key]);
  }
  /// Changes up to now are told no more.
  void forget_history() {
    forgotten_through = now();
    history.clear();
    std::erase_if(items, [](const auto& item) { return !item.second.value; });
  }

  /// What the store would be set back to.
  struct Copy {
    std::uint64_t revision = 0;
    std::map<std::string, shared_store::Change> items;
  };
  Copy copy() const { return {revision, items}; }
  /// Comes back as it was when the copy was made: revisions are given out again from there on.
  void set_back_to(const Copy& copy) {
    era = names_era ? era.next() : era;
    revision = copy.revision;
    items = copy.items;
    for (auto& [key, item] : items) {
      item.revision = shared_store::StoreRevision(item.revision.value(), era);
    }
    forget_history();
  }
  shared_store::StoreRevision now() const { return shared_store::StoreRevision(revision, era); }
  /// Whether the changes after a revision can be told: neither forgotten nor still to come.
  bool tells_changes_after(shared_store::StoreRevision after) const {
    return after >= forgotten_through && after <= now();
  }

  /// As they were written, after a revision.
  shared_store::Changes changes_after(shared_store::StoreRevision after) const {
    const auto first = std::upper_bound(history.begin(), history.end(), after,
                                        [](shared_store::StoreRevision bound, const auto& change) {
                                          return bound < change.revision;
                                        });
    return {.changes = {first, history.end()}};
  }

  shared_store::StoreEra era;
  bool names_era = true;  ///< In its answers. Without, each node infers it.
  std::uint64_t revision = 0;
  std::map<std::string, shared_store::Change> items;  ///< Without a value: removed.
  std::vector<shared_store::Change> history;          ///< In the order of revisions.
  shared_store::StoreRevision forgotten_through;
  bool down = false;
  std::uint64_t reads = 0;    ///< Answered.
  std::uint64_t refused = 0;  ///< While it was down.
};

/// The store as one node reaches it.
class StoreOfNode final : public shared_store::SharedStore {
 public:
  StoreOfNode(simulation::VirtualTime& time, StoreState& state, const bool& cut_off,
              const bool& turned_away, std::uint32_t link_mbps)
      : time_(time),
        state_(state),
        cut_off_(cut_off),
        turned_away_(turned_away),
        link_mbps_(link_mbps) {}

  void list(const std::string& /*prefix*/,
            shared_store::StoreCallback<shared_store::Listing> done) override {
    answer<shared_store::Listing>(std::move(done), [] { return shared_store::Listing(); });
  }
  void list_page(const shared_store::PageRequest& request,
                 shared_store::StoreCallback<shared_store::ListPage> done) override {
    answer<shared_store::ListPage>(std::move(done), [this, request] {
      shared_store::ListPage page;
      page.revision = state_.now();
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
        std::move(done), [this, after] { return state_.changes_after(stored(after)); },
        [this, after] { return !state_.tells_changes_after(stored(after)); }, after);
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
  static constexpr double kItemBytes = 350;  ///< As the store writes an item.
  static constexpr Duration kAnswerTime{4ms};
  static constexpr Duration kTimeout{1s};

  /// `gone`: whether the history that was asked for is, by the time of the answer. `after`: of the
  /// changes that were asked for.
  template <class T>
  void answer(
      shared_store::StoreCallback<T> done, std::function<T()> make,
      std::function<bool()> gone = [] { return false; }, std::optional<Revision> after = {}) {
    if (cut_off_) {
      time_.schedule_after(
          kTimeout, [done] { done(fail(shared_store::StoreErrc::kUnknownEffect, "no answer")); });
      return;
    }
    if (after) {
      eras_.observe_revision(*after);
    }
    time_.schedule_after(kAnswerTime, [this, done, make, gone, after, sent = eras_.on_send()] {
      if (state_.down || turned_away_) {
        ++state_.refused;
        done(fail(shared_store::StoreErrc::kNotExecuted, "down"));
        return;
      }
      ++state_.reads;
      if (gone()) {
        done(fail(shared_store::StoreErrc::kHistoryUnavailable, "gone"));
        return;
      }
      T answer = make();
      if (!state_.names_era) {
        const shared_store::StoreEra era = eras_.on_answer(sent, {{}, revision_of(answer)});
        if (after && era != after->era()) {
          done(fail(shared_store::StoreErrc::kHistoryUnavailable, "another era"));
          return;
        }
        name_era(answer, era);
      }
      const Duration transfer =
          from_seconds(items_of(answer) * kItemBytes * 8 / (1e6 * link_mbps_));
      time_.schedule_after(
          transfer, [done, answer = std::move(answer)]() mutable { done(std::move(answer)); });
    });
  }
  /// As the store itself counts, which knows no era where it names none.
  Revision stored(Revision revision) const {
    return state_.names_era ? revision : Revision(revision.value(), state_.era);
  }
  static std::optional<std::uint64_t> revision_of(const shared_store::ListPage& page) {
    return page.revision.value();
  }
  template <class T>
  static std::optional<std::uint64_t> revision_of(const T& /*answer*/) {
    return std::nullopt;
  }
  static void name_era(shared_store::Change& change, shared_store::StoreEra era) {
    change.revision = Revision(change.revision.value(), era);
  }
  static void name_era(shared_store::Listing& /*listing*/, shared_store::StoreEra /*era*/) {}
  static void name_era(shared_store::ListPage& page, shared_store::StoreEra era) {
    page.revision = Revision(page.revision.value(), era);
    for (shared_store::Change& item : page.items) {
      name_era(item, era);
    }
  }
  static void name_era(shared_store::Changes& changes, shared_store::StoreEra era) {
    for (shared_store::Change& change : changes.changes) {
      name_era(change, era);
    }
  }
  static double items_of(const shared_store::Listing& listing) {
    return static_cast<double>(listing.items.size());
  }
  static double items_of(const shared_store::ListPage& page) {
    return static_cast<double>(page.items.size());
  }
  static double items_of(const shared_store::Changes& changes) {
    return static_cast<double>(changes.changes.size());
  }
  static double items_of(const shared_store::Change&) { return 1; }

  simulation::VirtualTime& time_;
  StoreState& state_;
  const bool& cut_off_;
  const bool& turned_away_;
  std::uint32_t link_mbps_;
  shared_store::EraTracker eras_;  ///< Of a store that names none.
};

class LargeFleet;

struct FleetNode {
  FleetNode(LargeFleet& fleet, int number, const std::string& zone);

  void start() { watcher.start(); }
  /// What a node does first when it is told to stop; its registration ends only if the store
  /// answers.
  void leave() {
    leaving = true;
    nodes.leave();
    news.announce_leaving([this, told = registered] {
      return leaving ? std::max(told, nodes.own_registration_revision()) : told;
    });
  }

  bool cut_off = false;      ///< From the store and from all other nodes.
  bool turned_away = false;  ///< By the store alone.
  bool leaving = false;      ///< Until a process starts under its name: then only late words come.
  SeededRandom random;
  discovery::NodeRecord record;
  shared_store::StoreRevision registered;  ///< When it was last.
  discovery::NodeDirectory nodes;
  gateway::FleetState fleet;
  gateway::LoadTable loads;
  StoreOfNode store;
  discovery::FleetWatcher watcher;
  PeerExchange news;
};

/// Nodes in zones before a store that is written to all the time by servers' heartbeats.
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

  /// All processes are killed: what they knew and what they waited for is gone.
  void restart() {
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      retired_.push_back(std::move(nodes[i]));
      retired_.back()->cut_off = true;
      nodes[i] = std::make_unique<FleetNode>(*this, static_cast<int>(i), kZones[i % 5]);
    }
    start();
  }

  /// One process is killed and starts again.
  void restart(std::size_t index) {
    retired_.push_back(std::move(nodes[index]));
    retired_.back()->cut_off = true;
    nodes[index] = std::make_unique<FleetNode>(*this, static_cast<int>(index), kZones[index % 5]);
    register_node(*nodes[index]);
    nodes[index]->start();
  }

  /// All nodes start within 0.3 s and register.
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
    node.registered = state.now();
  }
  void advance(Duration span) { time.run_until(time.now() + span); }
  void carry(const FleetNode& from, const Endpoint& to, std::string_view bytes) {
    ++datagrams;
    if (random.chance(loss_) || from.cut_off || !fits_link(from, bytes.size())) {
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
  /// A view goes over a stream: slower than a datagram, and whole or not at all.
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
  /// Any node that the asker knows of.
  void fetch_from_any(FleetNode& asker, discovery::TransferCallback done);
  FleetNode* find(const Endpoint& address) {
    const auto found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : found->second;
  }
  void know(FleetNode& node) { by_address_[node.record.peer_address] = &node; }
  /// How many nodes the condition holds for.
  template <class Condition>
  std::size_t count(const Condition& condition) const {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [&](const auto& node) { return condition(*node); }));
  }
  std::size_t count_with_version(std::uint64_t version) const {
    return count([&](const FleetNode& node) {
      return node.fleet.routes() && node.fleet.routes()->configuration().version.value() == version;
    });
  }

  simulation::VirtualTime time;
  SeededRandom random{17};
  StoreState state;
  EngineCodec codec;
  logging::NullLogger logger;
  bool servers_write = true;  ///< That they live, again and again.
  std::uint64_t datagrams = 0;
  std::uint64_t dropped = 0;        ///< Of these, at full links.
  std::uint64_t fetched_bytes = 0;  ///< Over streams, before they are compressed.
  std::vector<std::unique_ptr<FleetNode>> nodes;

 private:
  /// Whether a datagram gets a place behind those that still wait at its sender's link.
  bool fits_link(const FleetNode& from, std::size_t bytes) {
    constexpr Duration kLongestQueue = 15ms;
    MonotonicTime& free_at = link_free_at_[&from];
    free_at = std::max(free_at, time.now());
    if (free_at - time.now() > kLongestQueue) {
      ++dropped;
      return false;
    }
    free_at += from_seconds(static_cast<double>(bytes) * 8 / (1e6 * from.record.link_mbps));
    return true;
  }

  /// One server after another writes that it lives, without a change that matters.
  void heartbeat() {
    const std::string key = "backends/e" + std::to_string(beat_++ % engines_);
    const auto known = state.items.at(key).value;
    if (known && servers_write) {
      state.put(key, known);
    }
    time.schedule_after(15ms, [this] { heartbeat(); });
  }

  double loss_;
  int engines_;
  int beat_ = 0;
  std::map<const FleetNode*, MonotonicTime> link_free_at_;
  std::vector<std::unique_ptr<FleetNode>> retired_;  ///< Timers may still name them.
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

/// The first three are the seeds of all.
inline discovery::FleetWatcherSettings settings_of(int number) {
  discovery::FleetWatcherSettings settings = discovery::settings_for_staleness_bound(4s);
  settings.lists_immediately = number < 3;
  return settings;
}

inline FleetNode::FleetNode(LargeFleet& large, int number, const std::string& zone)
    : random(static_cast<std::uint64_t>(number) + 1),
      record{NodeId("n" + std::to_string(number)),
             Endpoint("front"),
             ZoneName(zone),
             Endpoint("n" + std::to_string(number)),
             number % 13 == 0 ? 200U : 20U,
             Endpoint("n" + std::to_string(number))},
      nodes(large.time, record),
      store(large.time, large.state, cut_off, turned_away, record.link_mbps),
      watcher({large.time, large.time, random, store, large.codec, large.logger},
              settings_of(number), fleet, nodes),
      news(
          {large.time, large.time, random, fleet, loads, nodes, watcher},
          {.peer_address = record.peer_address,
           .view_address = record.peer_address,
           .relays = {.min_nodes = 48},
           .relay_batch_window = 10ms},
          [this, &large](const Endpoint& to, std::string_view bytes) {
            large.carry(*this, to, bytes);
          },
          [](const Endpoint&) {}) {
  large.know(*this);
  watcher.on_fetch_needed([this, &large](const auto& request, auto done) {
    large.fetch_view(*this, request, std::move(done));
  });
  watcher.on_view_needed(
      [this, &large](auto done) { large.fetch_from_any(*this, std::move(done)); });
  watcher.on_reading_assignment([this] { return news.channel().reading_assignment(); });
  watcher.on_store_state([this](bool reachable) { news.on_store_state(reachable); });
}

}  // namespace ochrespring::gateway_node::testing
