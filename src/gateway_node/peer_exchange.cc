#include "gateway_node/peer_exchange.h"

#include <iterator>
#include <utility>
#include <vector>

namespace ochrespring::gateway_node {

namespace {

/// Interval between offers of this node's view while the store is unreachable; about the time for
/// which a node that has just started waits for a view.
constexpr Duration kOfferInterval = std::chrono::milliseconds(500);
/// Interval between announcements that this node leaves. Callers look nodes up every few seconds,
/// and with the default grace period a stop takes at most about 7.5 s.
constexpr Duration kLeavingInterval = std::chrono::milliseconds(300);
/// Number of nodes that a starting node asks for cached prompt parts; several, because any of them
/// may be starting too.
constexpr std::size_t kMaxPeersAsked = 3;
/// A horizon that reaches back farther by less than this is not sent. Nodes that were all killed
/// restart almost simultaneously, and would otherwise send each other all their reports repeatedly.
constexpr Duration kMinHorizonGain = std::chrono::seconds(1);

/// Drops messages that arrive before their handler is set, which is after construction.
template <class Message>
void call_if_set(const std::function<void(const Message&)>& handler, const Message& message) {
  if (handler) {
    handler(message);
  }
}

}  // namespace

PeerExchange::PeerExchange(Dependencies deps, PeerExchangeOptions options, PeerChannel::Send send,
                           std::function<void(const Endpoint&)> on_offer)
    : deps_(deps),
      options_(std::move(options)),
      on_offer_(std::move(on_offer)),
      channel_(deps.nodes, {.relays = options_.relays, .view_address = options_.view_address},
               make_handlers(), std::move(send)),
      peer_work_([this](const gateway::BackendId& engine) { return deps_.loads.own(engine); }),
      announcer_(
          deps.timers, {.node = deps.nodes.self().node, .incarnation = deps.random.next()},
          [this](const gateway::BackendId& engine) { return deps_.loads.own(engine); },
          [this](const peer_load::WorkReport& report) { channel_.broadcast_work(report); }),
      relay_announcer_(
          deps.timers,
          {.node = deps.nodes.self().node,
           .incarnation = deps.random.next(),
           .batch_window = options_.relay_batch_window,
           .refresh = false},
          [this](const gateway::BackendId& engine) { return total_work(engine); },
          [this](const peer_load::WorkReport& sums) { channel_.broadcast_relayed_work(sums); }),
      offer_timer_(deps.timers),
      leaving_timer_(deps.timers) {
  observe_loads();
  deps_.watcher.on_poll(
      [this](const discovery::ViewUpdate& update) { channel_.broadcast_update(update); });
  deps_.watcher.on_position(
      [this](const discovery::PositionReport& report) { channel_.broadcast_position(report); });
  deps_.watcher.on_history(
      [this](const discovery::HistoryReport& report) { channel_.broadcast_history(report); });
}

void PeerExchange::observe_loads() {
  gateway::LoadTable& loads = deps_.loads;
  loads.set_peers(&peer_work_);
  loads.on_change([this](const gateway::BackendId& id) {
    if (is_engine(id)) {
      announcer_.note_change(id);
    }
  });
  loads.on_end([this](const gateway::BackendId& id, bool failed) {
    if (is_engine(id)) {
      announcer_.note_attempt_end(id, failed);
    }
  });
  loads.on_unresponsive([this](const gateway::BackendId& id) { announcer_.note_unresponsive(id); });
  loads.on_parts_cached(
      [this](const gateway::BackendId& id, const std::vector<std::uint64_t>& keys) {
        announcer_.note_prefilled_parts(id, keys);
      });
}

bool PeerExchange::is_engine(const gateway::BackendId& id) const {
  const gateway::Backend* backend = deps_.fleet.find(id);
  return backend != nullptr && backend->role != gateway::EngineRole::kNone;
}

PeerHandlers PeerExchange::make_handlers() {
  return {
      .work = [this](const peer_load::WorkReport& report) { receive_work(report); },
      .relayed_work = [this](const peer_load::WorkReport& sums) { receive_relayed_work(sums); },
      .work_to_relay =
          [this](const peer_load::WorkReport& report) { relay_announcer_.note_report(report); },
      .update =
          [this](const discovery::ViewUpdate& update, std::function<void()> covered) {
            deps_.watcher.receive_update(update, std::move(covered));
          },
      .position =
          [this](const discovery::PositionReport& report) {
            deps_.watcher.receive_position(report);
          },
      .history =
          [this](const discovery::HistoryReport& report) { deps_.watcher.receive_history(report); },
      .parts_request =
          [this](const peer_load::PartsRequest& request) { send_initial_state(request); },
      .offer = [this](const ViewOffer& offer) { on_offer_(offer.view_address); },
      .usage = [this](const usage::UsageReport& report) { call_if_set(usage_, report); },
      .crashes =
          [this](const quarantine::CrashReportBatch& batch) {
            call_if_set(crashes_.receive, batch);
          },
      .crashes_to_relay =
          [this](const quarantine::CrashReportBatch& batch) {
            call_if_set(crashes_.receive_for_relay, batch);
          },
      .horizon_request =
          [this](const quarantine::HorizonRequest& request) { answer_horizon_request(request); },
      .horizon_report =
          [this](const quarantine::HorizonReport& report) {
            call_if_set(crashes_.receive_horizon, report);
          },
      .leaving =
          [this](const NodeLeaving& notice) {
            deps_.nodes.note_leaving(notice.node, notice.registered);
          },
      .limits =
          [this](const rate_limit::LimitReport& report) { call_if_set(limits_.receive, report); },
      .permit_request =
          [this](const rate_limit::PermitRequest& request) {
            call_if_set(limits_.receive_request, request);
          },
      .permit_reply =
          [this](const rate_limit::PermitReply& reply) {
            call_if_set(limits_.receive_reply, reply);
          },
      .notice =
          [this](const admission::BackendNotice& notice) { call_if_set(notices_.receive, notice); },
      .profiles =
          [this](const engine_profiles::ProfileReport& report) {
            call_if_set(profiles_.receive, report);
          },
      .profiles_to_relay =
          [this](const engine_profiles::ProfileReport& report) {
            call_if_set(profiles_.receive_for_relay, report);
          },
      .relayed_profiles =
          [this](const engine_profiles::RelayedProfileReports& reports) {
            call_if_set(profiles_.receive_relayed, reports);
          },
      .stream_record =
          [this](const stream_records::StreamRecord& record) {
            call_if_set(stream_records_.receive, record);
          },
      .record_query =
          [this](const stream_records::RecordQuery& query) {
            call_if_set(stream_records_.receive_query, query);
          },
      .record_reply =
          [this](const stream_records::RecordReply& reply) {
            call_if_set(stream_records_.receive_reply, reply);
          },
      .software_history =
          [this](const stream_records::SoftwareHistoryReport& report) {
            call_if_set(stream_records_.receive_history, report);
          }};
}

void PeerExchange::receive_work(const peer_load::WorkReport& report) {
  const MonotonicTime now = deps_.clock.now();
  peer_work_.apply(report, now);
  apply_observations(report, now);
}

/// The sums include what this node reported itself, so its own ended attempts count twice, which
/// weighs little among those of all nodes.
void PeerExchange::receive_relayed_work(const peer_load::WorkReport& sums) {
  const MonotonicTime now = deps_.clock.now();
  peer_work_.apply_relayed(sums, now);
  apply_observations(sums, now);
}

void PeerExchange::apply_observations(const peer_load::WorkReport& report, MonotonicTime now) {
  for (const peer_load::EngineWork& work : report.engines) {
    if (deps_.fleet.find(work.engine) == nullptr) {
      // The engine was removed already or is not known yet, so no later removal would drop its
      // entry.
      peer_work_.forget(work.engine);
      continue;
    }
    gateway::BackendLoad& load = deps_.loads.find_or_create(work.engine);
    if (work.ended_attempts != 0) {
      load.note_peer_outcomes(work.ended_attempts, work.failed_attempts, now);
    }
    if (work.unresponsive) {
      load.note_peer_unresponsive(now);
    }
    for (const std::uint64_t key : work.prefilled_parts) {
      deps_.loads.note_cached(work.engine, key, now);
    }
  }
}

gateway::EngineWorkload PeerExchange::total_work(const gateway::BackendId& engine) const {
  gateway::EngineWorkload total = deps_.loads.own(engine);
  total += peer_work_.direct_work_at(engine, deps_.clock.now());
  return total;
}

void PeerExchange::send_initial_state(const peer_load::PartsRequest& request) {
  announcer_.send_cached_parts(
      deps_.loads, deps_.clock.now(),
      [&](const peer_load::WorkReport& report) { channel_.send(request.reply_to, report); });
  send_all_crashes(request.reply_to);
  if (limits_.send_all) {
    limits_.send_all(
        [&](const rate_limit::LimitReport& report) { channel_.send(request.reply_to, report); });
  }
  if (notices_.send_all) {
    notices_.send_all(
        [&](const admission::BackendNotice& notice) { channel_.send(request.reply_to, notice); });
  }
  if (stream_records_.report_history) {
    stream_records_.report_history(
        [this, to = request.reply_to](const stream_records::SoftwareHistoryReport& history) {
          channel_.send(to, history);
        });
  }
  if (profiles_.send_all) {
    profiles_.send_all([&](const engine_profiles::ProfileReport& report) {
      channel_.send(request.reply_to, report);
    });
  }
}

void PeerExchange::send_all_crashes(const Endpoint& to) {
  if (crashes_.send_all) {
    crashes_.send_all([&](const quarantine::CrashReportBatch& batch) { channel_.send(to, batch); });
  }
  if (crashes_.horizon) {
    channel_.send(to, crashes_.horizon());
  }
}

void PeerExchange::answer_horizon_request(const quarantine::HorizonRequest& request) {
  if (crashes_.horizon && crashes_.horizon().age - kMinHorizonGain > request.age) {
    send_all_crashes(request.reply_to);
  }
}

/// Chooses among the nodes of all zones: all nodes of one zone may have started at the same time.
void PeerExchange::request_horizon() {
  const auto& others = deps_.nodes.others();
  if (others.empty()) {
    return;
  }
  const auto chosen =
      std::next(others.begin(), static_cast<std::ptrdiff_t>(deps_.random.below(others.size())));
  channel_.send(chosen->second.peer_address,
                quarantine::HorizonRequest{options_.peer_address, crashes_.horizon().age});
}

void PeerExchange::request_cached_parts() {
  std::vector<discovery::NodeRecord> peers = channel_.nearby_nodes();
  for (std::size_t asked = 0; asked != kMaxPeersAsked && !peers.empty(); ++asked) {
    const std::size_t chosen = deps_.random.below(peers.size());
    channel_.send(peers[chosen].peer_address, peer_load::PartsRequest{options_.peer_address});
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

void PeerExchange::on_store_state(bool reachable) {
  offer_timer_.disarm();
  if (!reachable && !options_.view_address.empty()) {
    offer_view();
  }
}

void PeerExchange::offer_view() {
  if (deps_.fleet.routes() != nullptr) {
    channel_.broadcast_offer({options_.view_address});
  }
  offer_timer_.arm(kOfferInterval, [this] { offer_view(); });
}

void PeerExchange::announce_leaving(std::function<shared_store::StoreRevision()> registered) {
  channel_.announce_leaving({deps_.nodes.self().node, registered()});
  leaving_timer_.arm(kLeavingInterval,
                     [this, registered = std::move(registered)] { announce_leaving(registered); });
}

void PeerExchange::add_metrics(metrics::SampleSink& sink) const {
  for (std::size_t kind = 0; kind != kPeerMessageNames.size(); ++kind) {
    const PeerTraffic& sent = channel_.traffic(kind);
    const std::vector<metrics::Label> labels{{"kind", kPeerMessageNames[kind]}};
    sink.counter({"peer_datagrams_sent", "Datagrams sent to other nodes"},
                 static_cast<double>(sent.datagrams), labels);
    sink.counter({"peer_bytes_sent",
                  "Bytes of the datagrams sent to other nodes, without UDP and IP headers"},
                 static_cast<double>(sent.bytes), labels);
    sink.counter({"peer_bytes_sent_to_other_zones",
                  "Bytes sent to nodes of other zones, without UDP and IP headers"},
                 static_cast<double>(sent.bytes_to_other_zones), labels);
  }
  sink.gauge({"relay", "Whether this node is a relay of its zone"}, is_relay() ? 1 : 0);
}

}  // namespace ochrespring::gateway_node
