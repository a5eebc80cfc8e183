// The HTTP adapters against the stand-ins over real sockets.
#include <doctest/doctest.h>

#include "external/http/engine_control.h"
#include "external/http/machine_list.h"
#include "external/http/weight_store.h"
#include "standin/engine_front.h"
#include "standin/key_value_front.h"
#include "standin/machines_front.h"
#include "standin/tests/live_standins.h"
#include "standin/weights_front.h"

using namespace ochrespring;
using namespace ochrespring::external;
using namespace ochrespring::standin;
using namespace std::chrono_literals;
using ochrespring::standin::testing::LiveLoop;

namespace {

struct LiveKeyValue : LiveLoop {
  explicit LiveKeyValue(KeyValueFrontSettings settings = {}) : front(loop, clock, settings) {
    REQUIRE(front.front().listen().has_value());
    HttpKeyValueSettings client_settings;
    client_settings.endpoint = front.front().bound();
    client_settings.shortest_retry = 1ms;
    store = std::make_unique<HttpKeyValueStore>(client, loop, random, client_settings);
  }

  Result<SwapOutcome, ExternalError> swap(const std::string& key, KeyVersion expected,
                                          const std::string& value,
                                          std::optional<LeaseId> lease = {}) {
    return wait<SwapOutcome>(
        [&](auto done) { store->compare_and_swap(key, expected, value, lease, std::move(done)); });
  }
  Result<std::optional<KeyValueEntry>, ExternalError> get(const std::string& key) {
    return wait<std::optional<KeyValueEntry>>([&](auto done) { store->get(key, std::move(done)); });
  }
  void set_faults(const FaultSettings& faults) { front.front().faults().set(faults); }

  KeyValueFront front;
  std::unique_ptr<HttpKeyValueStore> store;
};

/// Stops the loop at the first change of a key.
struct ChangeRecorder : WatchObserver {
  explicit ChangeRecorder(http::EventLoop& event_loop) : loop(event_loop) {}
  void on_change(const KeyValueEntry& entry) override {
    changes.push_back(entry);
    loop.stop();
  }
  http::EventLoop& loop;
  std::vector<KeyValueEntry> changes;
};

}  // namespace

TEST_CASE("keys of any bytes are swapped, read, listed and deleted") {
  LiveKeyValue live;
  const std::string key = "fleet/a b%?";
  const std::string value("\0\xff binary", 9);
  const auto created = live.swap(key, KeyVersion(), value);
  REQUIRE(created.value().swapped);
  CHECK(live.get(key).value()->value == value);
  CHECK(live.swap(key, KeyVersion(), "other").value().current->value == value);
  const auto listed = live.wait<std::vector<KeyValueEntry>>(
      [&](auto done) { live.store->list("fleet/", std::move(done)); });
  CHECK(listed.value().size() == 1);
  const auto deleted = live.wait<SwapOutcome>([&](auto done) {
    live.store->compare_and_delete(key, created.value().version, std::move(done));
  });
  CHECK(deleted.value().swapped);
  CHECK_FALSE(live.get(key).value().has_value());
}

TEST_CASE("a lease that never was cannot be renewed or used") {
  LiveKeyValue live;
  const auto lease =
      live.wait<LeaseId>([&](auto done) { live.store->grant_lease(60s, std::move(done)); });
  CHECK(live.wait<LeaseId>([&](auto done) { live.store->renew_lease(lease.value(), done); })
            .has_value());
  CHECK(live.swap("a", KeyVersion(), "1", lease.value()).value().swapped);
  const LeaseId unknown(lease.value().value() + 1);
  CHECK(
      live.wait<LeaseId>([&](auto done) { live.store->renew_lease(unknown, done); }).error().code ==
      ExternalErrc::kNotFound);
  CHECK(live.swap("b", KeyVersion(), "1", unknown).error().code == ExternalErrc::kNotFound);
}

TEST_CASE("each way a call fails says what is known of its effect") {
  KeyValueFrontSettings settings;
  settings.table.calls_per_second = 0.001;
  settings.table.burst_calls = 3;
  LiveKeyValue live(settings);
  FaultSettings faults;
  SUBCASE("nobody listens") {
    HttpKeyValueSettings nowhere;
    nowhere.endpoint = Endpoint("127.0.0.1:1");
    live.store = std::make_unique<HttpKeyValueStore>(live.client, live.loop, live.random, nowhere);
    CHECK(live.get("a").error().code == ExternalErrc::kNotSent);
  }
  SUBCASE("down") {
    faults.down = true;
    live.set_faults(faults);
    CHECK(live.swap("a", KeyVersion(), "1").error().code == ExternalErrc::kUnknownEffect);
    live.set_faults({});
    CHECK_FALSE(live.get("a").value().has_value());
  }
  SUBCASE("the answer is lost, the effect is not") {
    faults.lost_answer = 1;
    live.set_faults(faults);
    CHECK(live.swap("a", KeyVersion(), "1").error().code == ExternalErrc::kUnknownEffect);
    live.set_faults({});
    CHECK(live.get("a").value()->value == "1");
  }
  SUBCASE("the answer is truncated") {
    faults.truncated_answer = 1;
    live.set_faults(faults);
    CHECK(live.swap("a", KeyVersion(), "1").error().code == ExternalErrc::kMalformed);
  }
  SUBCASE("over the rate limit") {
    for (int call = 0; call < 3; ++call) {
      REQUIRE(live.get("a").has_value());
    }
    CHECK(live.get("a").error().code == ExternalErrc::kRateLimited);
  }
}

TEST_CASE("a watch reports changes, and again after the service was cut off") {
  LiveKeyValue live;
  ChangeRecorder recorder(live.loop);
  const auto watch = live.store->watch("fleet/", recorder);
  const auto change = [&](const std::string& key) {
    live.front.front().faults().set({});
    static_cast<void>(live.swap(key, KeyVersion(), "1"));
  };
  // The watch begins from where the service is when the call arrives.
  static_cast<void>(live.get("first-call-has-arrived"));
  change("fleet/a");
  live.run_until([&] { return !recorder.changes.empty(); });
  CHECK(recorder.changes.back().key == "fleet/a");
  CHECK(live.fetch(live.front.front().bound(), "PUT", "/faults", R"({"down":true})").has_value());
  change("fleet/b");
  live.run_until([&] { return recorder.changes.size() >= 2; });
  CHECK(recorder.changes.back().key == "fleet/b");
}

TEST_CASE("machines and weight fetches come through") {
  LiveLoop live;
  MachinesFrontSettings machine_settings;
  machine_settings.lag = 0s;
  Machine machine;
  machine.name = "node-1";
  machine.zone = ZoneName("hall-vic");
  machine_settings.machines = {machine};
  MachinesFront machines(live.loop, live.clock, machine_settings);
  REQUIRE(machines.front().listen().has_value());
  HttpMachineList list(live.client, machines.front().bound());
  const auto listed =
      live.wait<std::vector<Machine>>([&](auto done) { list.list(std::move(done)); });
  REQUIRE(listed.value().size() == 1);
  CHECK(listed.value().front().zone == ZoneName("hall-vic"));

  WeightsFrontSettings weight_settings;
  weight_settings.store = {.bytes_per_second = 100, .concurrent_fetches = 1};
  WeightsFront weights(live.loop, live.clock, weight_settings);
  REQUIRE(weights.front().listen().has_value());
  HttpWeightStore store(live.client, weights.front().bound());
  const auto fetch = [&](auto done) { store.fetch("m@v1", 1000, std::move(done)); };
  CHECK(live.wait<FetchGrant>(fetch).value().transfer == 10s);
  CHECK(live.wait<FetchGrant>(fetch).error().code == ExternalErrc::kRateLimited);
}

TEST_CASE("an engine takes one order at a time and refuses stale fences") {
  LiveLoop live;
  EngineFrontSettings settings;
  settings.process.initial.engine = EngineId("e1");
  settings.process.initial.incarnation = Incarnation(1);
  EngineFront engine(live.loop, live.clock, live.client, nullptr, settings);
  REQUIRE(engine.front().listen().has_value());
  HttpEngineControl control(live.client);
  const Endpoint endpoint = engine.front().bound();
  const auto give = [&](std::uint64_t sequence) {
    engine::EngineOrder order;
    order.engine = EngineId("e1");
    order.fence = {Epoch(1), sequence};
    order.action = engine::OrderAction::kChangeRole;
    order.role = fleet::EngineRole::kPrefill;
    return live.wait<engine::EngineStatus>(
        [&](auto done) { control.order(endpoint, order, std::move(done)); });
  };
  REQUIRE(give(5).value().phase == engine::EnginePhase::kChanging);
  CHECK(give(5).error().code == ExternalErrc::kStaleFence);
  CHECK(give(6).error().code == ExternalErrc::kBusy);
  SUBCASE("a crash in the middle leaves no effect, and another incarnation") {
    engine.process().crash();
    const auto status = live.wait<engine::EngineStatus>(
        [&](auto done) { control.status(endpoint, std::move(done)); });
    CHECK(status.value().incarnation == Incarnation(2));
    CHECK(status.value().role == fleet::EngineRole::kMixed);
    CHECK_FALSE(status.value().current_order.has_value());
    CHECK(status.value().highest_fence.sequence == 5);
  }
  SUBCASE("a fence can be forgotten") {
    engine.process().forget_fence();
    CHECK(give(1).error().code == ExternalErrc::kBusy);
  }
}
