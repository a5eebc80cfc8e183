// Routing of datagrams between nodes: directly in a small fleet, through relays in a large one.
#include "gateway_node/peer_channel.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulation/virtual_time.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;

namespace {

/// One node, with counts of what it received.
struct ChannelNode {
  ChannelNode(const Clock& clock, const std::string& name, const std::string& zone,
              std::uint32_t relay_min_nodes, PeerChannel::Send send)
      : record{NodeId(name), Endpoint("front"), ZoneName(zone), Endpoint(name), 0},
        nodes(clock, record),
        channel(nodes, {.relays = {.min_nodes = relay_min_nodes}, .view_address = Endpoint(name)},
                {.work =
                     [this](const peer_load::WorkReport& report) {
                       ended += report.engines.at(0).ended_attempts;
                     },
                 .relayed_work = [](const auto&) {},
                 .work_to_relay =
                     [this](const peer_load::WorkReport& report) {
                       ++to_relay;
                       ended_to_relay += report.engines.at(0).ended_attempts;
                     },
                 .update =
                     [this](const discovery::ViewUpdate& update, std::function<void()> covered) {
                       ++updates;
                       holders.insert(update.view_address);
                       if (covered && accepts_updates) {
                         covered();
                       }
                     },
                 .parts_request = [](const auto&) {},
                 .offer = [this](const auto&) { ++offers; },
                 .usage = [this](const auto&) { ++usage_reports; },
                 .crashes = [this](const auto&) { ++crash_reports; },
                 .crashes_to_relay =
                     [this](const quarantine::CrashReportBatch& batch) {
                       ++crash_reports;
                       channel.broadcast_crashes_to_zone(batch);
                     },
                 .leaving = [this](const auto&) { ++leaving_notices; },
                 .profiles = [this](const auto&) { ++profile_reports; },
                 .profiles_to_relay =
                     [this](const engine_profiles::ProfileReport& report) {
                       ++profile_reports;
                       channel.broadcast_profiles_to_zone({{report}});
                     },
                 .relayed_profiles = [this](const auto&) { ++profile_reports; }},
                std::move(send)) {}

  discovery::NodeRecord record;
  discovery::NodeDirectory nodes;
  PeerChannel channel;
  int to_relay = 0;
  int updates = 0;
  int offers = 0;
  int usage_reports = 0;
  int crash_reports = 0;
  int leaving_notices = 0;
  int profile_reports = 0;
  std::uint32_t ended = 0;
  std::uint32_t ended_to_relay = 0;
  bool accepts_updates = true;  ///< Whether its view includes the updates' base.
  std::set<Endpoint> holders;   ///< View addresses in updates.
};

/// Ten nodes in two zones that know each other. Datagrams are queued until deliver().
struct ChannelFleet {
  explicit ChannelFleet(std::uint32_t relay_min_nodes) {
    for (const char* zone : {"a", "b"}) {
      for (int i = 0; i != 5; ++i) {
        nodes.push_back(
            std::make_unique<ChannelNode>(time, zone + std::to_string(i), zone, relay_min_nodes,
                                          [this](const Endpoint& to, std::string_view bytes) {
                                            waiting.emplace_back(to, bytes);
                                          }));
      }
    }
    for (const auto& node : nodes) {
      for (const auto& other : nodes) {
        node->nodes.put(other->record);
      }
    }
  }
  /// Delivers all datagrams, including those sent in response.
  void deliver() {
    while (!waiting.empty()) {
      const auto [to, bytes] = waiting.front();
      waiting.pop_front();
      for (const auto& node : nodes) {
        if (node->record.peer_address == to) {
          node->channel.receive(bytes);
        }
      }
    }
  }
  int total(int ChannelNode::*count) const {
    int sum = 0;
    for (const auto& node : nodes) {
      sum += (*node).*count;
    }
    return sum;
  }

  simulation::VirtualTime time;
  std::deque<std::pair<Endpoint, std::string>> waiting;
  std::vector<std::unique_ptr<ChannelNode>> nodes;
};

peer_load::WorkReport make_report(std::uint64_t sequence) {
  return {NodeId("a0"),
          1,
          sequence,
          {{.engine = gateway::BackendId("e"), .ended_attempts = 1, .prefilled_parts = {}}}};
}

}  // namespace

TEST_CASE("a node of a small fleet sends updates to all other nodes") {
  ChannelFleet fleet(11);
  fleet.nodes[0]->channel.broadcast_update({});
  fleet.deliver();
  CHECK(fleet.total(&ChannelNode::updates) == 9);
  CHECK(fleet.nodes[0]->updates == 0);
  const PeerTraffic& sent =
      fleet.nodes[0]->channel.traffic(PeerMessage(discovery::ViewUpdate{}).index());
  CHECK(sent.datagrams == 9);
  CHECK(sent.bytes_to_other_zones * 9 == sent.bytes * 5);
}

TEST_CASE("in a large fleet an update reaches every node by two relays of its zone") {
  ChannelFleet fleet(10);
  for (const auto& sender : fleet.nodes) {
    const int before = fleet.total(&ChannelNode::updates);
    sender->channel.broadcast_update({});
    // Four relays receive it and send it to the four others of their zone; the sender may be a
    // relay.
    const bool relay = sender->channel.is_relay();
    const int expected = relay ? 3 + 4 * 4 : 4 + 4 * 4;
    fleet.deliver();
    CHECK(fleet.total(&ChannelNode::updates) == before + expected);
  }
  for (const auto& node : fleet.nodes) {
    CHECK(node->updates >= 10);
  }
}

TEST_CASE("a relay forwards an update once its view includes it, with itself as the holder") {
  ChannelFleet fleet(10);
  ChannelNode& sender = *fleet.nodes[0];
  std::set<Endpoint> relays{Endpoint("a0")};
  for (const auto& node : fleet.nodes) {
    node->accepts_updates = false;
    if (node->channel.is_relay()) {
      relays.insert(Endpoint(node->record.node.value()));
    }
  }
  const int expected = sender.channel.is_relay() ? 3 + 4 : 4;
  sender.channel.broadcast_update({});
  fleet.deliver();
  CHECK(fleet.total(&ChannelNode::updates) == expected);
  for (const auto& node : fleet.nodes) {
    node->accepts_updates = true;
  }
  sender.channel.broadcast_update({});
  const int expected_later = sender.channel.is_relay() ? 3 + 4 * 4 : 4 + 4 * 4;
  fleet.deliver();
  CHECK(fleet.total(&ChannelNode::updates) == expected + expected_later);
  for (const auto& node : fleet.nodes) {
    for (const Endpoint& holder : node->holders) {
      CHECK(relays.contains(holder));
    }
  }
}

TEST_CASE(
    "work is sent to the relays of all zones, and results of attempts to one relay per zone") {
  ChannelFleet fleet(10);
  for (std::uint64_t sequence = 1; sequence != 9; ++sequence) {
    fleet.nodes[0]->channel.broadcast_work(make_report(sequence));
  }
  fleet.deliver();
  CHECK(fleet.total(&ChannelNode::to_relay) == 8 * 4);
  std::uint32_t ended = 0;
  for (const auto& node : fleet.nodes) {
    CHECK((node->to_relay == 0 || node->to_relay == 8));
    CHECK(node->ended_to_relay == node->to_relay / 2);
    ended += node->ended_to_relay;
  }
  CHECK(ended == 8 * 2);
}

TEST_CASE("view offers are sent to the relays of a zone and from there to its nodes") {
  ChannelFleet fleet(10);
  int expected = 0;
  for (const auto& sender : fleet.nodes) {
    sender->channel.broadcast_offer({Endpoint("127.0.0.1:9")});
    expected += sender->channel.is_relay() ? 4 : 2;
  }
  fleet.deliver();
  CHECK(fleet.total(&ChannelNode::offers) == expected);
  for (const auto& node : fleet.nodes) {
    CHECK(node->offers >= 1);
  }
}

TEST_CASE("usage is sent to all nodes that may hold the duties, one of which is the first choice") {
  for (const std::uint32_t relay_min_nodes : {2U, 100U}) {
    ChannelFleet fleet(relay_min_nodes);
    for (const auto& node : fleet.nodes) {
      node->channel.broadcast_usage({.node = node->record.node, .incarnation = 1, .windows = {}});
    }
    fleet.deliver();
    int first = 0;
    for (const auto& node : fleet.nodes) {
      // A node does not send its own usage to itself.
      CHECK(node->usage_reports == (node->channel.receives_all_usage() ? 9 : 0));
      first += node->channel.is_first_relay() ? 1 : 0;
      CHECK((!node->channel.is_first_relay() || node->channel.receives_all_usage()));
    }
    CHECK(first == 1);
  }
}

TEST_CASE("crash reports reach every other node, with and without relays") {
  for (const std::uint32_t relay_min_nodes : {100U, 2U}) {
    for (const std::size_t sender : {0U, 3U, 7U}) {
      ChannelFleet fleet(relay_min_nodes);
      fleet.nodes[sender]->channel.broadcast_crashes({{quarantine::CrashReport{}}});
      fleet.deliver();
      for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
        CHECK((i == sender || fleet.nodes[i]->crash_reports > 0));
      }
    }
  }
}

// A node that receives no profiles treats slow engines as normal.
TEST_CASE("engine profiles reach every other node, with and without relays") {
  for (const std::uint32_t relay_min_nodes : {11U, 10U}) {
    ChannelFleet fleet(relay_min_nodes);
    for (const auto& sender : fleet.nodes) {
      for (const auto& node : fleet.nodes) {
        node->profile_reports = 0;
      }
      sender->channel.broadcast_profiles({});
      fleet.deliver();
      for (const auto& node : fleet.nodes) {
        CHECK((node == sender || node->profile_reports > 0));
      }
    }
  }
}

TEST_CASE("a leaving notice that was delayed by a suspension of the node is ignored") {
  simulation::VirtualTime time;
  ChannelNode node(time, "a1", "a", 48, [](const Endpoint&, std::string_view) {});
  const std::string notice =
      wire::encode(PeerMessage(NodeLeaving{NodeId("b1"), shared_store::StoreRevision(74)}));
  node.channel.receive(notice, std::chrono::seconds(6));
  CHECK(node.leaving_notices == 0);
  node.channel.receive(notice, std::chrono::milliseconds(5));
  CHECK(node.leaving_notices == 1);
}
