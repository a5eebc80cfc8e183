#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "simulation/virtual_time.h"
#include "standin/model/engine_orders.h"
#include "standin/model/machine_table.h"
#include "standin/model/relay_log.h"
#include "standin/model/token_text.h"
#include "standin/model/weight_store_model.h"

using namespace std::chrono_literals;
using namespace ochrespring;
using namespace ochrespring::standin;
using ochrespring::simulation::VirtualTime;

namespace {

engine::EngineOrder order(std::uint64_t epoch, std::uint64_t sequence,
                          engine::OrderAction action = engine::OrderAction::kChangeRole) {
  engine::EngineOrder made;
  made.engine = EngineId("e1");
  made.fence = {Epoch(epoch), sequence};
  made.action = action;
  made.role = fleet::EngineRole::kPrefill;
  return made;
}

EngineOrders engine_one() {
  engine::EngineStatus status;
  status.engine = EngineId("e1");
  status.incarnation = Incarnation(1);
  return EngineOrders(status);
}

}  // namespace

TEST_CASE("an engine refuses fences at or below the highest it has seen") {
  EngineOrders orders = engine_one();
  REQUIRE(orders.accept(order(2, 1)) == OrderVerdict::kAccepted);
  orders.complete();
  CHECK(orders.status().role == fleet::EngineRole::kPrefill);
  CHECK(orders.accept(order(2, 1)) == OrderVerdict::kStaleFence);
  CHECK(orders.accept(order(1, 9)) == OrderVerdict::kStaleFence);
  CHECK(orders.accept(order(2, 2)) == OrderVerdict::kAccepted);
}

TEST_CASE("an engine carries out one order at a time, and a new authority can still fence it") {
  EngineOrders orders = engine_one();
  REQUIRE(orders.accept(order(1, 1)) == OrderVerdict::kAccepted);
  CHECK(orders.accept(order(1, 2)) == OrderVerdict::kBusy);
  CHECK(orders.accept(order(2, 0, engine::OrderAction::kRaiseFence)) == OrderVerdict::kAccepted);
  orders.complete();
  CHECK(orders.accept(order(1, 3)) == OrderVerdict::kStaleFence);
}

TEST_CASE("a crash in the middle of an order leaves a new incarnation without its effect") {
  EngineOrders orders = engine_one();
  REQUIRE(orders.accept(order(1, 1)) == OrderVerdict::kAccepted);
  SUBCASE("the fence is kept") {
    orders.crash(Incarnation(2), false);
    CHECK(orders.accept(order(1, 1)) == OrderVerdict::kStaleFence);
  }
  SUBCASE("the fence is forgotten") {
    orders.crash(Incarnation(2), true);
    CHECK(orders.accept(order(1, 1)) == OrderVerdict::kAccepted);
  }
  CHECK(orders.status().role == fleet::EngineRole::kMixed);
  CHECK(orders.status().incarnation == Incarnation(2));
}

TEST_CASE("the machine list shows the past") {
  VirtualTime time;
  MachineTable table(time, 5s);
  external::Machine machine;
  machine.name = "node-1";
  table.put(machine);
  CHECK(table.list().empty());
  time.run_until(MonotonicTime(5s));
  REQUIRE(table.list().size() == 1);
  REQUIRE(table.mark_leaving("node-1"));
  CHECK(table.list().front().state == external::MachineState::kLive);
  time.run_until(MonotonicTime(10s));
  CHECK(table.list().front().state == external::MachineState::kLeaving);
  CHECK(table.remove("node-1"));
  CHECK(table.truth().empty());
  CHECK_FALSE(table.mark_leaving("node-2"));
}

TEST_CASE("the relay counts every run of every key") {
  RelayLog log;
  log.record_run("a");
  log.record_run("b");
  CHECK(log.doubled().empty());
  CHECK(log.record_run("a") == 2);
  REQUIRE(log.doubled().size() == 1);
  CHECK(log.doubled().front().key == "a");
}

TEST_CASE("fetches of weights share one bandwidth and are bounded") {
  VirtualTime time;
  WeightStoreModel store(time, {.bytes_per_second = 100, .concurrent_fetches = 2});
  CHECK(store.start(100) == 1s);
  CHECK(store.start(100) == 2s);
  CHECK_FALSE(store.start(1).has_value());
  time.run_until(MonotonicTime(store.retry_after()));
  CHECK(store.start(100) == 2s);
}

TEST_CASE("generated tokens depend on prompt and offset only") {
  const std::uint64_t prompt = prompt_hash("once upon a time");
  CHECK(token_text(prompt, 3) == token_text(prompt, 3));
  CHECK(token_text(prompt, 3) != token_text(prompt, 4));
  CHECK(token_text(prompt, 3) != token_text(prompt_hash("another"), 3));
  CHECK(token_text(prompt, 0).size() == kTokenTextBytes);
}
