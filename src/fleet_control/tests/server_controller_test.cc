// Tests that the holder orders servers and reacts to the results of earlier orders.
#include "fleet_control/server_controller.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

#include "shared_store/tests/memory_store.h"

using namespace ochrespring;
using namespace ochrespring::fleet_control;
using namespace std::chrono_literals;
using duties::DutyErrc;
using shared_store::testing::MemoryStore;
using shared_store::testing::StoreState;

namespace {

const ServiceName kService("llm");
const ZoneName kZones[] = {ZoneName("a"), ZoneName("b"), ZoneName("c")};

/// Adds ordered servers after a boot time and removes released ones immediately.
class FakeProvider final : public ServerProvider {
 public:
  FakeProvider(simulation::VirtualTime& time, gateway::FleetState& fleet)
      : time_(time), fleet_(fleet) {}

  void order_servers(duties::Fence /*fence*/, const ServerPool& pool, std::uint32_t desired,
                     duties::DutyCallback done) override {
    ++orders;
    if (pool.preemptible && exhausted) {
      answer(done, duties::DutyResult(fail(DutyErrc::kRefused, "none")));
    } else if (loses_orders) {
      answer(done, duties::DutyResult(fail(DutyErrc::kUnknownEffect, "silent")));
    } else {
      set(pool, desired);
      answer(done, duties::DutyResult(outcome::success()));
    }
  }
  void set(const ServerPool& pool, std::uint32_t count) {
    std::uint32_t there = ordered[pool];
    ordered[pool] = count;
    for (; there > count; --there) {
      fleet_.remove(id_of(pool, there));
    }
    for (; there < count; ++there) {
      time_.schedule_after(4s, [this, pool, number = there + 1] {
        if (ordered[pool] >= number) {
          fleet_.put(make(pool, number));
        }
      });
    }
  }
  /// Sets the servers present from the start.
  void put(const ServerPool& pool, std::uint32_t count) {
    ordered[pool] = count;
    for (std::uint32_t number = 1; number <= count; ++number) {
      fleet_.put(make(pool, number));
    }
  }
  std::uint32_t count(bool preemptible) const {
    std::uint32_t servers = 0;
    for (const auto& [id, backend] : fleet_.backends()) {
      servers += backend.preemptible == preemptible ? 1 : 0;
    }
    return servers;
  }

  std::map<ServerPool, std::uint32_t> ordered;
  bool exhausted = false;
  bool loses_orders = false;
  std::uint64_t orders = 0;

 private:
  static gateway::BackendId id_of(const ServerPool& pool, std::uint32_t number) {
    return gateway::BackendId(pool.zone.value() + (pool.preemptible ? "p" : "r") +
                              std::to_string(number));
  }
  static gateway::Backend make(const ServerPool& pool, std::uint32_t number) {
    gateway::Backend backend;
    backend.id = id_of(pool, number);
    backend.service = pool.service;
    backend.zone = pool.zone;
    backend.preemptible = pool.preemptible;
    return backend;
  }
  void answer(const duties::DutyCallback& done, duties::DutyResult result) {
    time_.schedule_after(5ms, [done, result] { done(result); });
  }

  simulation::VirtualTime& time_;
  gateway::FleetState& fleet_;
};

struct ControllerFixture {
  ControllerFixture() {
    gateway::Configuration configuration;
    configuration.version = gateway::ConfigurationVersion(1);
    gateway::ServerScaling market;
    market.min_servers = 1;
    market.max_servers = 20;
    market.boot = 4s;
    market.preemptible_price = 0.2;
    for (const ZoneName& zone : kZones) {
      market.zone_prices[zone] = 1.0;
    }
    configuration.services = {{.name = kService, .scaling = market}};
    fleet.apply(std::move(configuration));
    lease.on_gained([this] { controller.on_gained(); });
    lease.start();
    controller.start();
  }

  void advance(Duration span) { time.run_until(time.now() + span); }
  static ServerPool pool(std::size_t zone, bool preemptible) {
    return {kService, kZones[zone], preemptible};
  }
  void put_regular(std::uint32_t each) {
    for (std::size_t zone = 0; zone != 3; ++zone) {
      provider.put(pool(zone, false), each);
    }
  }

  simulation::VirtualTime time;
  StoreState state{time};
  MemoryStore store{time, state, time};
  SeededRandom random{3};
  logging::NullLogger logger;
  gateway::FleetState fleet;
  FakeProvider provider{time, fleet};
  duties::DutyLease lease{{time, time, random, store, logger},
                          {.holder_key = "holder",
                           .history_key = "history",
                           .offset_key = "offset",
                           .node = NodeId("n")},
                          {.to_claim = [] { return true; }, .to_hold = [] { return true; }}};
  ServerController controller{{time, time, store, logger, fleet, lease, provider},
                              {.key_prefix = "servers/"}};
};

}  // namespace

TEST_CASE("preemptible servers replace regular ones, with spares for one zone") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.advance(30s);
  CHECK(fixture.provider.count(false) == 0);
  CHECK(fixture.provider.count(true) == 36);
  CHECK(fixture.state.items.at("servers/llm").value == "24");
  const std::uint64_t orders = fixture.provider.orders;
  fixture.advance(60s);
  CHECK(fixture.provider.orders == orders);
}

TEST_CASE("servers that register one by one are all counted before any is released") {
  ControllerFixture fixture;
  for (std::uint32_t each = 1; each <= 8; ++each) {
    fixture.put_regular(each);
    fixture.advance(700ms);
    CHECK(fixture.provider.count(false) == 3 * each);
  }
  fixture.advance(30s);
  CHECK(fixture.state.items.at("servers/llm").value == "24");
  CHECK(fixture.provider.count(true) == 36);
}

TEST_CASE("a zone that lost its preemptible servers is refilled without regular ones") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.advance(30s);
  fixture.provider.put(ControllerFixture::pool(2, true), 0);
  for (std::uint32_t number = 1; number <= 12; ++number) {
    fixture.fleet.remove(gateway::BackendId("cp" + std::to_string(number)));
  }
  fixture.provider.exhausted = true;
  fixture.advance(9s);
  CHECK(fixture.provider.count(false) == 0);
  fixture.provider.exhausted = false;
  fixture.advance(12s);
  CHECK(fixture.provider.count(true) == 36);
  CHECK(fixture.lease.fence());
}

TEST_CASE("unavailable servers are ordered again every second") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.provider.exhausted = true;
  fixture.advance(5s);
  const std::uint64_t before = fixture.provider.orders;
  fixture.advance(10s);
  // Three zones, one order per second each.
  CHECK(fixture.provider.orders >= before + 27);
  CHECK(fixture.provider.orders <= before + 33);
  CHECK(fixture.controller.statistics().refused == fixture.provider.orders);
}

TEST_CASE("regular servers cover a lasting shortage of preemptible ones") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.advance(30s);
  fixture.provider.exhausted = true;
  for (std::size_t zone = 1; zone != 3; ++zone) {
    fixture.provider.put(ControllerFixture::pool(zone, true), 0);
    for (std::uint32_t number = 1; number <= 12; ++number) {
      fixture.fleet.remove(gateway::BackendId(kZones[zone].value() + "p" + std::to_string(number)));
    }
  }
  fixture.advance(13s);
  CHECK(fixture.provider.count(false) == 0);
  fixture.advance(2s);
  CHECK(fixture.provider.count(false) == 12);
  // They stay for the release delay after preemptible ones are back, since released servers drain.
  fixture.provider.exhausted = false;
  fixture.advance(25s);
  CHECK(fixture.provider.count(true) >= 24);
  CHECK(fixture.provider.count(false) == 12);
  fixture.advance(20s);
  CHECK(fixture.provider.count(false) == 0);
}

TEST_CASE("a new holder does not release servers that were missing a moment ago") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.advance(30s);
  fixture.provider.put(ControllerFixture::pool(0, false), 4);
  fixture.controller.on_gained();
  fixture.advance(25s);
  CHECK(fixture.provider.count(false) == 4);
  fixture.advance(10s);
  CHECK(fixture.provider.count(false) == 0);
}

TEST_CASE("crashed servers that return soon are not replaced by regular ones") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.advance(30s);
  // 20 of 36 servers: all of one zone and two thirds of another.
  for (std::uint32_t number = 1; number <= 12; ++number) {
    fixture.fleet.remove(gateway::BackendId("cp" + std::to_string(number)));
  }
  for (std::uint32_t number = 1; number <= 8; ++number) {
    fixture.fleet.remove(gateway::BackendId("bp" + std::to_string(number)));
  }
  fixture.advance(1500ms);
  fixture.provider.put(ControllerFixture::pool(1, true), 12);
  fixture.advance(10s);
  for (const auto& [pool, desired] : fixture.provider.ordered) {
    CHECK((pool.preemptible || desired == 0));
  }
}

TEST_CASE("an order whose effect is unknown is sent again until the servers are present") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.provider.loses_orders = true;
  fixture.advance(10s);
  CHECK(fixture.provider.count(true) == 0);
  CHECK(fixture.provider.orders < 30);
  fixture.provider.loses_orders = false;
  fixture.advance(30s);
  CHECK(fixture.provider.count(true) == 36);
}

TEST_CASE("nothing is ordered without the lease") {
  ControllerFixture fixture;
  fixture.put_regular(8);
  fixture.state.down = true;
  fixture.advance(30s);
  CHECK(fixture.provider.orders == 0);
}
