// Guards against all partitioned nodes choosing one relay, and against relays for strangers.
#include "links/relay_chooser.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

const Endpoint kBackend("10.0.0.1:80");

struct Fixture {
  simulation::VirtualTime time;
  SeededRandom random{3};
  discovery::NodeDirectory nodes{time, record(0, "z1")};
  links::RelayChooser relays{nodes, time, random};

  static discovery::NodeRecord record(int number, const std::string& zone) {
    discovery::NodeRecord made;
    made.node = NodeId("n" + std::to_string(number));
    made.zone = ZoneName(zone);
    made.peer_address = peer(number);
    return made;
  }
  static Endpoint peer(int number) {
    return Endpoint("10.0.1." + std::to_string(number) + ":7380");
  }
  std::map<Endpoint, int> choose_often() {
    std::map<Endpoint, int> chosen;
    for (int i = 0; i != 600; ++i) {
      ++chosen[relays.choose(kBackend).value()];
    }
    return chosen;
  }
};

}  // namespace

TEST_CASE("relays are nodes of the own zone in even shares, others only if there is none") {
  Fixture f;
  CHECK_FALSE(f.relays.has_peers());
  CHECK_FALSE(f.relays.choose(kBackend));
  f.nodes.put(Fixture::record(1, "z1"));
  f.nodes.put(Fixture::record(2, "z1"));
  f.nodes.put(Fixture::record(3, "z2"));
  const auto chosen = f.choose_often();
  CHECK(chosen.size() == 2);
  CHECK(chosen.at(Fixture::peer(1)) > 200);
  CHECK(chosen.at(Fixture::peer(2)) > 200);
  CHECK(f.relays.choose(kBackend, {Fixture::peer(1), Fixture::peer(2)}) == Fixture::peer(3));
  CHECK_FALSE(f.relays.choose(kBackend, {Fixture::peer(1), Fixture::peer(2), Fixture::peer(3)}));
}

TEST_CASE("a node that refused is left out for that back end alone, for a moment") {
  Fixture f;
  f.nodes.put(Fixture::record(1, "z1"));
  f.relays.note_refused(Fixture::peer(1), kBackend);
  CHECK_FALSE(f.relays.choose(kBackend));
  CHECK(f.relays.choose(Endpoint("10.0.0.2:80")) == Fixture::peer(1));
  f.time.run_until(f.time.now() + 100ms);
  CHECK(f.relays.choose(kBackend) == Fixture::peer(1));
}

TEST_CASE("nodes that relayed are preferred for a second, and nodes that refused are asked last") {
  Fixture f;
  f.nodes.put(Fixture::record(1, "z1"));
  f.nodes.put(Fixture::record(2, "z2"));
  f.nodes.put(Fixture::record(3, "z2"));
  f.relays.note_refused(Fixture::peer(1), Endpoint("10.0.0.2:80"));
  CHECK(f.choose_often().size() == 2);
  CHECK(f.relays.choose(kBackend, {Fixture::peer(2), Fixture::peer(3)}) == Fixture::peer(1));
  f.relays.note_relayed(Fixture::peer(3));
  CHECK(f.choose_often().size() == 1);
  CHECK(f.relays.choose(kBackend) == Fixture::peer(3));
  f.time.run_until(f.time.now() + 1000ms);
  CHECK(f.relays.choose(kBackend) == Fixture::peer(1));
}

TEST_CASE("an unreachable node is left out for all back ends, for half a second") {
  Fixture f;
  f.nodes.put(Fixture::record(1, "z1"));
  f.relays.note_unreachable(Fixture::peer(1));
  CHECK_FALSE(f.relays.choose(kBackend));
  CHECK_FALSE(f.relays.choose(Endpoint("10.0.0.2:80")));
  f.time.run_until(f.time.now() + 500ms);
  CHECK(f.relays.choose(kBackend) == Fixture::peer(1));
}

TEST_CASE("the only node that reaches back ends is found although all others refuse") {
  Fixture f;
  constexpr int kNodes = 40;
  const Endpoint helper = Fixture::peer(kNodes);
  for (int i = 1; i <= kNodes; ++i) {
    // All nodes of the own zone refuse; the helper is in another one.
    f.nodes.put(Fixture::record(i, i <= 13 ? "z1" : "z2"));
  }
  int served = 0;
  for (int request = 0; request != 50; ++request) {
    std::set<Endpoint> asked;
    for (int i = 0; i != 3; ++i) {
      const Endpoint node = f.relays.choose(kBackend, asked).value();
      asked.insert(node);
      if (node == helper) {
        f.relays.note_relayed(node);
        ++served;
        break;
      }
      f.relays.note_refused(node, kBackend);
    }
    f.time.run_until(f.time.now() + 20ms);
  }
  CHECK(served >= 50 - kNodes / 3);
}

TEST_CASE("only nodes of the fleet count as nodes, also shortly after their removal") {
  Fixture f;
  f.nodes.put(Fixture::record(1, "z1"));
  CHECK(f.relays.is_node(Endpoint("10.0.1.1:50123")));
  CHECK_FALSE(f.relays.is_node(Endpoint("10.0.1.10:50123")));
  CHECK_FALSE(f.relays.is_node(Endpoint("10.0.1.2:7380")));
  f.nodes.remove(NodeId("n1"));
  CHECK(f.relays.is_node(Endpoint("10.0.1.1:50123")));
}
