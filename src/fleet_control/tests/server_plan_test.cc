// Tests the number of servers of each kind.
#include "fleet_control/server_plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace ochrespring;
using namespace ochrespring::fleet_control;

namespace {

const ZoneName kA("a");
const ZoneName kB("b");
const ZoneName kC("c");

gateway::ServerScaling make_market(double price) {
  gateway::ServerScaling market;
  market.min_servers = 1;
  market.max_servers = 94;
  market.preemptible_price = price;
  return market;
}

}  // namespace

TEST_CASE("preemptible servers are used if they are cheaper including spares for one zone") {
  CHECK(preemptible_is_cheaper(make_market(0.18), 3, {}));
  CHECK_FALSE(preemptible_is_cheaper(make_market(0.7), 3, {}));
  CHECK_FALSE(preemptible_is_cheaper(make_market(0.18), 1, {}));
  CHECK_FALSE(
      preemptible_is_cheaper(gateway::ServerScaling{.min_servers = 1, .max_servers = 94}, 3, {}));
  CHECK_FALSE(preemptible_is_cheaper(make_market(0.5), 3, {.headroom = 1.5}));
}

TEST_CASE("regular servers are released once preemptible ones accept requests") {
  const ServersByZone before{{kA, {47, 0}}, {kB, {47, 0}}, {kC, {46, 0}}};
  const ServersByZone ordered = plan_servers(make_market(0.18), 140, before, {});
  CHECK(ordered.at(kA) == ZoneServers{47, 47});
  CHECK(ordered.at(kC) == ZoneServers{47, 47});
  const ServersByZone both{{kA, {47, 47}}, {kB, {47, 47}}, {kC, {46, 47}}};
  CHECK(plan_servers(make_market(0.18), 140, both, {}).at(kA) == ZoneServers{0, 47});
  const ServersByZone released{{kA, {0, 47}}, {kB, {0, 47}}, {kC, {0, 47}}};
  CHECK(plan_servers(make_market(0.18), 140, released, {}).at(kA) == ZoneServers{0, 70});
}

TEST_CASE("spares in the other zones cover the loss of one zone's preemptible servers") {
  const ServersByZone lost{{kA, {0, 70}}, {kB, {0, 70}}, {kC, {0, 0}}};
  const ServersByZone plan = plan_servers(make_market(0.18), 140, lost, {});
  CHECK(plan.at(kC) == ZoneServers{0, 70});
  CHECK(plan.at(kA) == ZoneServers{0, 70});
}

TEST_CASE("regular servers cover what both kinds together lack") {
  const ServersByZone lost{{kA, {0, 70}}, {kB, {0, 0}}, {kC, {0, 0}}};
  CHECK(plan_servers(make_market(0.18), 140, lost, {}).at(kB).regular == 24);
}

TEST_CASE("the plan is unchanged where preemptible servers are not cheaper") {
  const ServersByZone present{{kA, {5, 0}}, {kB, {7, 0}}};
  CHECK(plan_servers(make_market(0.9), 12, present, {}) == present);
}

TEST_CASE("every plan stays within the bounds of each zone") {
  CHECK(rc::check("both kinds together stay between the minimum and the maximum", [] {
    gateway::ServerScaling market = make_market(*rc::gen::inRange(1, 30) / 100.0);
    market.max_servers = *rc::gen::inRange(1U, 100U);
    market.min_servers = *rc::gen::inRange(0U, market.max_servers + 1);
    ServersByZone present;
    const int zones = *rc::gen::inRange(2, 6);
    std::uint32_t needed = 0;
    for (int i = 0; i != zones; ++i) {
      const auto regular = *rc::gen::inRange(0U, market.max_servers + 1);
      present[ZoneName(std::to_string(i))] = {regular,
                                              *rc::gen::inRange(0U, market.max_servers + 1)};
      needed += regular;
    }
    for (const auto& [zone, wanted] :
         plan_servers(market, needed, present, {.min_regular_ratio = 0.1})) {
      RC_ASSERT(wanted.regular + wanted.preemptible <= market.max_servers);
      RC_ASSERT(wanted.regular + wanted.preemptible >= market.min_servers);
    }
  }));
}
