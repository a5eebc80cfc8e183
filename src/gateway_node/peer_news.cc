#include "gateway_node/peer_news.h"

#include <iterator>
#include <utility>
#include <vector>

namespace ochrespring::gateway_node {

namespace {

/// Between two offers of this node's view while the store is out: a node that has just started
/// waits about this long for a view.
constexpr Duration kOfferPeriod = std::chrono::milliseconds(500);
/// Between two times that this node tells that it leaves: callers ask for nodes every few seconds,
/// and a stop takes 7.5 s at most.
constexpr Duration kLeavingPause = std::chrono::milliseconds(300);
/// How many others a node that starts asks what engines keep; any of them may be starting, too.
constexpr std::size_t kPeersAsked = 3;
/// A horizon that reaches back by less than this farther is not told: nodes that were all killed
/// start within a moment, and would tell each other all they know again and again.
constexpr Duration kHorizonGain = std::chrono::seconds(1);

/// Whoever takes a kind of news says so once it is there; until then it is left alone.
template <class Message>
void call_if_set(const std::function<void(const Message&)>& handler, const Message& message) {
  if (handler) {
    handler(message);
  }
}

}  // namespace

PeerNews::PeerNews(World world, PeerNewsOptions options, PeerChannel::Send send,
                   std::function<void(const Endpoint&)> on_offer)
    : world_(world),
      options_(std::move(options)),
      on_offer_(std::move(on_offer)),
      channel_(world.nodes, {.relays = options_.relays, .view_address = options_.view_address},
               make_handlers(), std::move(send)),
      peer_work_([this](const gateway::BackendId& engine) { return world_.loads.own(engine); }),
      announcer_(
          world.timers, {.node = world.nodes.self().node, .life = world.random.next()},
          [this](const gateway::BackendId& engine) { return world_.loads.own(engine); },
          [this](const peer_load::WorkReport& report) { channel_.tell_work(report); }),
      relay_(
          world.timers,
          {.node = world.nodes.self().node,
           .life = world.random.next(),
           .gather = options_.relay_gather,
           .repeat = false},
          [this](const gateway::BackendId& engine) { return work_of_all(engine); },
          [this](const peer_load::WorkReport& sums) { channel_.tell_relayed_work(sums); }),
      offer_timer_(world.timers),
      leaving_timer_(world.timers) {
  listen_to_loads();
  world_.watcher.on_look(
      [this](const discovery::ViewUpdate& update) { channel_.tell_update(update); });
  world_.watcher.on_position(
      [this](const discovery::PositionNews& news) { channel_.tell_position(news); });
  world_.watcher.on_history(
      [this](const discovery::HistoryNews& news) { channel_.tell_history(news); });
}

void PeerNews::listen_to_loads() {
  gateway::LoadTable& loads = world_.loads;
  loads.set_peers(&peer_work_);
  loads.on_change([this](const gateway::BackendId& id) {
    if (is_engine(id)) {
      announcer_.note_change(id);
    }
  });
  loads.on_end([this](const gateway::BackendId& id, bool failed) {
    if (is_engine(id)) {
      announcer_.note_end(id, failed);
    }
  });
  loads.on_unresponsive([this](const gateway::BackendId& id) { announcer_.note_silence(id); });
  loads.on_parts_cached(
      [this](const gateway::BackendId& id, const std::vector<std::uint64_t>& keys) {
        announcer_.note_parts(id, keys);
      });
}

bool PeerNews::is_engine(const gateway::BackendId& id) const {
  const gateway::Backend* backend = world_.fleet.find(id);
  return backend != nullptr && backend->role != gateway::EngineRole::kNone;
}

PeerHandlers PeerNews::make_handlers() {
  return {
      .work = [this](const peer_load::WorkReport& report) { take_work(report); },
      .relayed_work = [this](const peer_load::WorkReport& sums) { take_relayed_work(sums); },
      .work_to_relay = [this](const peer_load::WorkReport& report) { relay_.note_report(report); },
      .update =
          [this](const discovery::ViewUpdate& update, std::function<void()> covered) {
            world_.watcher.take_update(update, std::move(covered));
          },
      .position =
          [this](const discovery::PositionNews& news) { world_.watcher.take_position(news); },
      .history = [this](const discovery::HistoryNews& news) { world_.watcher.take_history(news); },
      .parts_request = [this](const peer_load::PartsRequest& request) { tell_parts(request); },
      .offer = [this](const ViewOffer& offer) { on_offer_(offer.view_address); },
      .usage = [this](const usage::UsageReport& report) { call_if_set(usage_, report); },
      .crashes = [this](const quarantine::CrashNews& news) { call_if_set(crashes_.take, news); },
      .crashes_to_relay =
          [this](const quarantine::CrashNews& news) { call_if_set(crashes_.take_to_relay, news); },
      .horizon_request = [this](const quarantine::HorizonRequest& request) { answer(request); },
      .horizon_report =
          [this](const quarantine::HorizonReport& told) {
            call_if_set(crashes_.take_horizon, told);
          },
      .leaving =
          [this](const NodeLeaving& told) {
            world_.nodes.note_leaving(told.node, told.registered);
          },
      .limits = [this](const rate_limit::LimitNews& news) { call_if_set(limits_.take, news); },
      .permit_request =
          [this](const rate_limit::PermitRequest& request) {
            call_if_set(limits_.take_request, request);
          },
      .permit_reply =
          [this](const rate_limit::PermitReply& reply) { call_if_set(limits_.take_reply, reply); },
      .notice =
          [this](const admission::BackendNotice& notice) { call_if_set(notices_.take, notice); },
      .profiles =
          [this](const engine_profiles::ProfileNews& news) { call_if_set(profiles_.take, news); },
      .profiles_to_relay =
          [this](const engine_profiles::ProfileNews& news) {
            call_if_set(profiles_.take_to_relay, news);
          },
      .relayed_profiles =
          [this](const engine_profiles::RelayedProfileNews& relayed) {
            call_if_set(profiles_.take_relayed, relayed);
          }};
}

void PeerNews::take_work(const peer_load::WorkReport& report) {
  const MonotonicTime now = world_.clock.now();
  peer_work_.apply(report, now);
  take_observations(report, now);
}

/// What this node told itself comes back with the sums: its own ends then count twice, one among
/// those of all nodes.
void PeerNews::take_relayed_work(const peer_load::WorkReport& sums) {
  const MonotonicTime now = world_.clock.now();
  peer_work_.apply_relayed(sums, now);
  take_observations(sums, now);
}

void PeerNews::take_observations(const peer_load::WorkReport& report, MonotonicTime now) {
  for (const peer_load::EngineWork& work : report.engines) {
    if (world_.fleet.find(work.engine) == nullptr) {
      // Gone already, or not seen yet: nothing would ever forget it again.
      peer_work_.forget(work.engine);
      continue;
    }
    gateway::BackendLoad& load = world_.loads.find_or_create(work.engine);
    if (work.ended != 0) {
      load.note_peer_outcomes(work.ended, work.failed, now);
    }
    if (work.silent) {
      load.note_peer_unresponsive(now);
    }
    for (const std::uint64_t key : work.parts_read) {
      world_.loads.note_cached(work.engine, key, now);
    }
  }
}

gateway::EngineWorkload PeerNews::work_of_all(const gateway::BackendId& engine) const {
  gateway::EngineWorkload all = world_.loads.own(engine);
  all += peer_work_.direct_work_at(engine, world_.clock.now());
  return all;
}

void PeerNews::tell_parts(const peer_load::PartsRequest& request) {
  announcer_.tell_all(world_.loads, world_.clock.now(), [&](const peer_load::WorkReport& report) {
    channel_.send(request.reply_to, report);
  });
  tell_all_crashes(request.reply_to);
  if (limits_.tell_all) {
    limits_.tell_all(
        [&](const rate_limit::LimitNews& news) { channel_.send(request.reply_to, news); });
  }
  if (notices_.tell_all) {
    notices_.tell_all(
        [&](const admission::BackendNotice& notice) { channel_.send(request.reply_to, notice); });
  }
  if (profiles_.tell_all) {
    profiles_.tell_all(
        [&](const engine_profiles::ProfileNews& news) { channel_.send(request.reply_to, news); });
  }
}

void PeerNews::tell_all_crashes(const Endpoint& to) {
  if (crashes_.tell_all) {
    crashes_.tell_all([&](const quarantine::CrashNews& news) { channel_.send(to, news); });
  }
  if (crashes_.horizon) {
    channel_.send(to, crashes_.horizon());
  }
}

void PeerNews::answer(const quarantine::HorizonRequest& request) {
  if (crashes_.horizon && crashes_.horizon().age - kHorizonGain > request.age) {
    tell_all_crashes(request.reply_to);
  }
}

/// Of any zone: all nodes of one may have started at once.
void PeerNews::ask_for_horizon() {
  const auto& others = world_.nodes.others();
  if (others.empty()) {
    return;
  }
  const auto chosen =
      std::next(others.begin(), static_cast<std::ptrdiff_t>(world_.random.below(others.size())));
  channel_.send(chosen->second.peer_address,
                quarantine::HorizonRequest{options_.peer_address, crashes_.horizon().age});
}

void PeerNews::ask_for_parts() {
  std::vector<discovery::NodeRecord> peers = channel_.near_nodes();
  for (std::size_t asked = 0; asked != kPeersAsked && !peers.empty(); ++asked) {
    const std::size_t chosen = world_.random.below(peers.size());
    channel_.send(peers[chosen].peer_address, peer_load::PartsRequest{options_.peer_address});
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

void PeerNews::on_store_state(bool reachable) {
  offer_timer_.disarm();
  if (!reachable && !options_.view_address.empty()) {
    offer_view();
  }
}

void PeerNews::offer_view() {
  if (world_.fleet.routes() != nullptr) {
    channel_.tell_offer({options_.view_address});
  }
  offer_timer_.arm(kOfferPeriod, [this] { offer_view(); });
}

void PeerNews::tell_leaving(std::function<shared_store::StoreRevision()> registered) {
  channel_.tell_leaving({world_.nodes.self().node, registered()});
  leaving_timer_.arm(kLeavingPause,
                     [this, registered = std::move(registered)] { tell_leaving(registered); });
}

void PeerNews::add_metrics(metrics::SampleSink& sink) const {
  for (std::size_t kind = 0; kind != kPeerMessageNames.size(); ++kind) {
    const PeerTraffic& sent = channel_.traffic(kind);
    const std::vector<metrics::Label> labels{{"kind", kPeerMessageNames[kind]}};
    sink.counter({"peer_datagrams_sent", "Datagrams sent to other nodes"},
                 static_cast<double>(sent.datagrams), labels);
    sink.counter({"peer_bytes_sent", "Their bytes, without headers"},
                 static_cast<double>(sent.bytes), labels);
    sink.counter({"peer_bytes_sent_to_other_zones", "Of these, to other zones"},
                 static_cast<double>(sent.bytes_to_zones), labels);
  }
  sink.gauge({"relay", "Whether this node relays for its zone"}, relays_here() ? 1 : 0);
}

}  // namespace ochrespring::gateway_node
