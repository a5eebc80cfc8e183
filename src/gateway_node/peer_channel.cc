#include "gateway_node/peer_channel.h"

#include <algorithm>
#include <string>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::gateway_node {

namespace {

/// A word that a node leaves and that has waited longer than this may be of a process before the
/// one that runs there now. One that still leaves tells it again sooner.
constexpr Duration kLateLeaving = std::chrono::milliseconds(500);

/// How attempts ended is counted by whoever hears it, and both relays of a zone pass on what they
/// are told: only one of them is told of the ends, by turns.
peer_load::WorkReport without_ends(peer_load::WorkReport report) {
  for (peer_load::EngineWork& work : report.engines) {
    work.ended = 0;
    work.failed = 0;
  }
  return report;
}

}  // namespace

void PeerChannel::receive(std::string_view bytes, Duration waited) {
  // What cannot be decoded is no message of a node: it is left alone, and costs no log line each.
  auto message = wire::decode<PeerMessage>(bytes);
  if (!message) {
    return;
  }
  // A look's news are as old as they were when sent, and as long as they waited: a view that seems
  // young would refuse what a newer configuration allows.
  if (auto* update = std::get_if<discovery::ViewUpdate>(&message.value())) {
    update->age += waited;
  } else if (auto* relayed = std::get_if<ViewUpdateToRelay>(&message.value())) {
    relayed->message.age += waited;
  }
  const bool leaving = std::holds_alternative<NodeLeaving>(message.value()) ||
                       std::holds_alternative<NodeLeavingToRelay>(message.value());
  if (leaving && waited > kLateLeaving) {
    return;
  }
  std::visit([this](const auto& told) { take(told); }, message.value());
}

void PeerChannel::take(const WorkReportToRelay& told) {
  handlers_.work(told.message);
  handlers_.work_to_relay(told.message);
}

void PeerChannel::take(const ViewUpdateToRelay& told) {
  // The nodes of the zone that cannot join the update fetch the view here: it has to be as new.
  handlers_.update(told.message, [this, update = told.message]() mutable {
    update.view_address = view_address_;
    send_to(relays_.zone_members(), update);
  });
}

void PeerChannel::broadcast_work(const peer_load::WorkReport& report) {
  if (!relays_.in_use()) {
    send_to_others(report);
    return;
  }
  const peer_load::WorkReport plain = without_ends(report);
  const std::string whole_bytes = wire::encode(PeerMessage(WorkReportToRelay{report}));
  const std::string plain_bytes = wire::encode(PeerMessage(WorkReportToRelay{plain}));
  const std::size_t kind = PeerMessage(WorkReportToRelay{}).index();
  for (const Nodes& ranked : relays_.relays()) {
    for (std::size_t rank = 0; rank != ranked.size(); ++rank) {
      const bool whole = report.sequence % ranked.size() == rank;
      if (is_self(ranked[rank])) {
        handlers_.work_to_relay(whole ? report : plain);
      } else {
        send_bytes(ranked[rank], kind, whole ? whole_bytes : plain_bytes);
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

/// In a large fleet each node offers to the relays of its zone, and these to all of the zone: a
/// relay that has just started learns of a view from any node, and any node from a relay.
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

void PeerChannel::take(const NodeLeavingToRelay& told) {
  handlers_.leaving(told.message);
  send_to(relays_.zone_members(), told.message);
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

void PeerChannel::broadcast_crashes(const quarantine::CrashReportBatch& news) {
  broadcast_to_all(news);
}

void PeerChannel::broadcast_limits(const rate_limit::LimitReport& news) {
  broadcast_to_all(news);
}

void PeerChannel::take(const LimitReportToRelay& told) {
  handlers_.limits(told.message);
  send_to(relays_.zone_members(), told.message);
}

void PeerChannel::broadcast_notice(const admission::BackendNotice& notice) {
  broadcast_to_all(notice);
}

void PeerChannel::take(const BackendNoticeToRelay& told) {
  handlers_.notice(told.message);
  send_to(relays_.zone_members(), told.message);
}

/// A relay's own news need not be gathered: it is one of the nodes that tell.
void PeerChannel::broadcast_profiles(const engine_profiles::ProfileReport& news) {
  broadcast_to_all(news);
}

void PeerChannel::broadcast_crashes_to_zone(const quarantine::CrashReportBatch& news) {
  send_to(relays_.zone_members(), news);
}

bool PeerChannel::is_first_relay() const {
  const auto& zones = relays_.relays();
  return !zones.empty() && is_self(zones.front().front());
}

discovery::ReadingAssignment PeerChannel::reading_assignment() const {
  if (!relays_.in_use()) {
    return {};
  }
  discovery::ReadingAssignment duty{
      .role = discovery::ReadingRole::kReader, .rank = 0, .readers = {}};
  for (std::size_t place = 0; place != discovery::RelayTable::kRelaysPerZone; ++place) {
    for (const Nodes& ranked : relays_.relays()) {
      if (place < ranked.size() && is_self(ranked[place])) {
        return duty;
      }
      duty.rank += place < ranked.size() ? 1 : 0;
    }
  }
  duty.role = discovery::ReadingRole::kFollower;
  duty.rank = 0;
  for (const discovery::NodeRecord& relay : own_relays()) {
    if (!relay.view_address.empty()) {
      duty.readers.push_back(relay.view_address);
    }
  }
  return duty;
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
  Nodes near = relays_.zone_members();
  if (near.empty()) {
    for (const auto& [node, record] : nodes_.others()) {
      near.push_back(record);
    }
  }
  return near;
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
