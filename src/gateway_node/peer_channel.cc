#include "gateway_node/peer_channel.h"

#include <algorithm>
#include <string>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::gateway_node {

namespace {

/// A leaving notice that was queued longer than this may be from a process that has been replaced
/// since. A node that is still leaving repeats the notice sooner.
constexpr Duration kMaxLeavingDelay = std::chrono::milliseconds(500);

/// Removes the ended attempts from a report. Every receiver adds them up, and both relays of a zone
/// pass on what they receive, so only one of them receives the ended attempts: the relays take
/// turns by the report's sequence number.
peer_load::WorkReport without_attempt_ends(peer_load::WorkReport report) {
  for (peer_load::EngineWork& work : report.engines) {
    work.ended_attempts = 0;
    work.failed_attempts = 0;
  }
  return report;
}

}  // namespace

void PeerChannel::receive(std::string_view bytes, Duration waited) {
  // Datagrams that cannot be decoded are not from a node. They are ignored, and not logged one by
  // one.
  auto message = wire::decode<PeerMessage>(bytes);
  if (!message) {
    return;
  }
  // Adds the queueing time to the age of the update. Otherwise the view would count as current, and
  // requests that only a newer configuration allows would be refused.
  if (auto* update = std::get_if<discovery::ViewUpdate>(&message.value())) {
    update->age += waited;
  } else if (auto* relayed = std::get_if<ViewUpdateToRelay>(&message.value())) {
    relayed->message.age += waited;
  }
  const bool leaving = std::holds_alternative<NodeLeaving>(message.value()) ||
                       std::holds_alternative<NodeLeavingToRelay>(message.value());
  if (leaving && waited > kMaxLeavingDelay) {
    return;
  }
  std::visit([this](const auto& decoded) { dispatch(decoded); }, message.value());
}

void PeerChannel::dispatch(const WorkReportToRelay& wrapped) {
  handlers_.work(wrapped.message);
  handlers_.work_to_relay(wrapped.message);
}

void PeerChannel::dispatch(const ViewUpdateToRelay& wrapped) {
  // Nodes of the zone that cannot apply the update fetch the view here, so it must include the
  // update before it is passed on.
  handlers_.update(wrapped.message, [this, update = wrapped.message]() mutable {
    update.view_address = view_address_;
    send_to(relays_.zone_members(), update);
  });
}

void PeerChannel::broadcast_work(const peer_load::WorkReport& report) {
  if (!relays_.in_use()) {
    send_to_others(report);
    return;
  }
  const peer_load::WorkReport reduced = without_attempt_ends(report);
  const std::string full_bytes = wire::encode(PeerMessage(WorkReportToRelay{report}));
  const std::string reduced_bytes = wire::encode(PeerMessage(WorkReportToRelay{reduced}));
  const std::size_t kind = PeerMessage(WorkReportToRelay{}).index();
  for (const Nodes& ranked : relays_.relays()) {
    for (std::size_t rank = 0; rank != ranked.size(); ++rank) {
      const bool full = report.sequence % ranked.size() == rank;
      if (is_self(ranked[rank])) {
        handlers_.work_to_relay(full ? report : reduced);
      } else {
        send_bytes(ranked[rank], kind, full ? full_bytes : reduced_bytes);
      }
    }
  }
}

void PeerChannel::broadcast_relayed_work(const peer_load::WorkReport& sums) {
  send_to(relays_.zone_members(), peer_load::RelayedReport{sums});
}

void PeerChannel::broadcast_update(discovery::ViewUpdate update) {
  update.view_address = view_address_;
  if (!relays_.in_use()) {
    send_to_others(update);
    return;
  }
  send_to_relays(ViewUpdateToRelay{update});
  if (is_relay()) {
    send_to(relays_.zone_members(), update);
  }
}

void PeerChannel::broadcast_offer(const ViewOffer& offer) {
  if (!relays_.in_use()) {
    send_to_others(offer);
    return;
  }
  send_to(is_relay() ? relays_.zone_members() : own_relays(), offer);
}

void PeerChannel::broadcast_to_relays(const PeerMessage& message) {
  if (!relays_.in_use()) {
    send_to_others(message);
    return;
  }
  send_to_relays(message);
}

void PeerChannel::dispatch(const NodeLeavingToRelay& wrapped) {
  handlers_.leaving(wrapped.message);
  send_to(relays_.zone_members(), wrapped.message);
}

template <class Message>
void PeerChannel::broadcast_to_all(const Message& message) {
  if (!relays_.in_use()) {
    send_to_others(message);
    return;
  }
  send_to_relays(ToRelay<Message>{message});
  if (is_relay()) {
    send_to(relays_.zone_members(), message);
  }
}

void PeerChannel::announce_leaving(const NodeLeaving& leaving) {
  broadcast_to_all(leaving);
}

void PeerChannel::broadcast_crashes(const quarantine::CrashReportBatch& batch) {
  broadcast_to_all(batch);
}

void PeerChannel::broadcast_limits(const rate_limit::LimitReport& report) {
  broadcast_to_all(report);
}

void PeerChannel::dispatch(const LimitReportToRelay& wrapped) {
  handlers_.limits(wrapped.message);
  send_to(relays_.zone_members(), wrapped.message);
}

void PeerChannel::broadcast_notice(const admission::BackendNotice& notice) {
  broadcast_to_all(notice);
}

void PeerChannel::dispatch(const BackendNoticeToRelay& wrapped) {
  handlers_.notice(wrapped.message);
  send_to(relays_.zone_members(), wrapped.message);
}

/// A relay sends its own report to its zone directly, without combining it with those of others.
void PeerChannel::broadcast_profiles(const engine_profiles::ProfileReport& report) {
  broadcast_to_all(report);
}

void PeerChannel::broadcast_crashes_to_zone(const quarantine::CrashReportBatch& batch) {
  send_to(relays_.zone_members(), batch);
}

bool PeerChannel::is_first_relay() const {
  const auto& zones = relays_.relays();
  return !zones.empty() && is_self(zones.front().front());
}

discovery::ReadingAssignment PeerChannel::reading_assignment() const {
  if (!relays_.in_use()) {
    return {};
  }
  discovery::ReadingAssignment assignment{
      .role = discovery::ReadingRole::kReader, .rank = 0, .readers = {}};
  for (std::size_t zone_rank = 0; zone_rank != discovery::RelayTable::kRelaysPerZone; ++zone_rank) {
    for (const Nodes& ranked : relays_.relays()) {
      if (zone_rank < ranked.size() && is_self(ranked[zone_rank])) {
        return assignment;
      }
      assignment.rank += zone_rank < ranked.size() ? 1 : 0;
    }
  }
  assignment.role = discovery::ReadingRole::kFollower;
  assignment.rank = 0;
  for (const discovery::NodeRecord& relay : own_relays()) {
    if (!relay.view_address.empty()) {
      assignment.readers.push_back(relay.view_address);
    }
  }
  return assignment;
}

void PeerChannel::send(const Endpoint& to, const PeerMessage& message) {
  send_bytes({.node = {},
              .address = {},
              .zone = nodes_.self().zone,
              .peer_address = to,
              .link_mbps = 0,
              .view_address = {}},
             message.index(), wire::encode(message));
}

std::vector<discovery::NodeRecord> PeerChannel::nearby_nodes() const {
  Nodes nearby = relays_.zone_members();
  if (nearby.empty()) {
    for (const auto& [node, record] : nodes_.others()) {
      nearby.push_back(record);
    }
  }
  return nearby;
}

const PeerChannel::Nodes& PeerChannel::own_relays() const {
  static const Nodes none;
  for (const Nodes& ranked : relays_.relays()) {
    if (ranked.front().zone == nodes_.self().zone) {
      return ranked;
    }
  }
  return none;
}

bool PeerChannel::is_relay() const {
  const Nodes& ranked = own_relays();
  return std::any_of(ranked.begin(), ranked.end(),
                     [this](const auto& record) { return is_self(record); });
}

void PeerChannel::send_to_others(const PeerMessage& message) {
  const std::string bytes = wire::encode(message);
  for (const auto& [node, record] : nodes_.others()) {
    send_bytes(record, message.index(), bytes);
  }
}

void PeerChannel::send_to(const Nodes& nodes, const PeerMessage& message) {
  send_encoded(nodes, message.index(), wire::encode(message));
}

void PeerChannel::send_to_relays(const PeerMessage& message) {
  const std::string bytes = wire::encode(message);
  for (const Nodes& ranked : relays_.relays()) {
    send_encoded(ranked, message.index(), bytes);
  }
}

void PeerChannel::send_encoded(const Nodes& nodes, std::size_t kind, std::string_view bytes) {
  for (const discovery::NodeRecord& record : nodes) {
    if (!is_self(record)) {
      send_bytes(record, kind, bytes);
    }
  }
}

void PeerChannel::send_bytes(const discovery::NodeRecord& to, std::size_t kind,
                             std::string_view bytes) {
  PeerTraffic& sent = traffic_[kind];
  ++sent.datagrams;
  sent.bytes += bytes.size();
  sent.bytes_to_other_zones += to.zone == nodes_.self().zone ? 0 : bytes.size();
  send_(to.peer_address, bytes);
}

}  // namespace ochrespring::gateway_node
