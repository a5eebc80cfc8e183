#include "external/http/json.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "external/http/encoding.h"

using namespace ochrespring;
using namespace ochrespring::external;

TEST_CASE("any bytes survive both encodings") {
  CHECK(rc::check([](const std::string& bytes) {
    RC_ASSERT(base64_decode(base64_encode(bytes)) == bytes);
    RC_ASSERT(percent_decode(percent_encode(bytes)) == bytes);
  }));
}

TEST_CASE("broken encodings are refused") {
  CHECK_FALSE(base64_decode("abc").has_value());
  CHECK_FALSE(base64_decode("****").has_value());
  CHECK_FALSE(percent_decode("%4").has_value());
  CHECK_FALSE(percent_decode("%zz").has_value());
}

TEST_CASE("query parameters are found by their whole name") {
  CHECK(query_parameter("prefix=a%2Fb&wait_ms=5", "prefix") == "a/b");
  CHECK(query_number("xwait_ms=1&wait_ms=5", "wait_ms") == 5);
  CHECK_FALSE(query_number("wait_ms=5x", "wait_ms").has_value());
  CHECK_FALSE(query_parameter("", "prefix").has_value());
}

TEST_CASE("orders and statuses survive JSON") {
  engine::EngineOrder order;
  order.engine = EngineId("drafting-llm-1");
  order.fence = {Epoch(7), 3};
  order.action = engine::OrderAction::kLoadModel;
  order.model = ModelName("m");
  order.version = VersionName("v2");
  CHECK(order_of(Json::parse(json_of(order).dump())) == order);

  engine::EngineStatus status;
  status.engine = order.engine;
  status.incarnation = Incarnation(~0ULL);
  status.phase = engine::EnginePhase::kChanging;
  status.adapters = {AdapterName("a")};
  status.current_order = order;
  status.last_completed = engine::OrderFence{Epoch(6), 9};
  CHECK(status_of(Json::parse(json_of(status).dump())) == status);
}

TEST_CASE("load reports and cache events survive JSON") {
  engine::LoadReport report;
  report.engine = EngineId("e");
  report.age = std::chrono::milliseconds(1500);
  report.kv_tokens_capacity = 123456;
  report.prefill_chunk_tokens = 256;
  report.decode_tokens_per_second = 12.5F;
  CHECK(load_report_of(Json::parse(json_of(report).dump())) == report);

  const engine::CacheEvent event{4, engine::CacheChange::kEvicted, {~0ULL, 1}};
  CHECK(cache_event_of(Json::parse(json_of(event).dump())) == event);
}

TEST_CASE("unknown names are refused rather than guessed") {
  CHECK_THROWS_AS(role_of("chef"), Json::exception);
  CHECK_THROWS_AS(order_of(Json{{"engine", "e"}}), Json::exception);
  CHECK_THROWS_AS(machine_of(Json{{"name", "n"}, {"state", "asleep"}}), Json::exception);
}
