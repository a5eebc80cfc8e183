// Tests of requests to back ends that have asked this node to back off.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/fake_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatedFixture;

namespace {

struct BackedOffFixture : GatedFixture {
  /// Starts a backoff period of the back end.
  void back_off(const char* id) {
    gate.full.insert(BackendId(id));
    gate.backed_off.insert(BackendId(id));
    gate.forecast_backing_off = true;
  }
  void back_off_all() {
    for (const char* id : {"b1", "b2", "b3"}) {
      back_off(id);
    }
  }
  std::string backend_of_last() {
    const std::string& address = last().request.endpoint.value();
    return address.substr(0, address.find(':'));
  }
};

}  // namespace

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a request that waits for a connection is sent to another back end if its own "
                  "asks to back off") {
  const auto caller = request("/once/x");
  const std::string first = backend_of_last();
  back_off(first.c_str());
  CHECK_FALSE(connect());
  REQUIRE(sends() == 2);
  CHECK(backend_of_last() != first);
  CHECK(connect());
  last().answer(200, {signature()}, "ok");
  CHECK(caller->head.status == 200);
  CHECK(statistics.retries == 0);
  CHECK(statistics.withdrawn == 1);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "if a prefill engine backs off before it is connected another one is used, and "
                  "its cache is kept if the runner backs off") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("e2", "llm", EngineRole::kDecode);
  add_backend("p1", "llm", EngineRole::kPrefill);
  add_backend("p2", "llm", EngineRole::kPrefill);
  const auto caller = request(
      "/stream/x", {{names.prompt_parts, "aa:6300,bb:2000"}, {names.token_counts, "8300,20"}});
  const std::string prefill_engine = backend_of_last();
  REQUIRE(prefill_engine.starts_with("p"));
  back_off(prefill_engine.c_str());
  CHECK_FALSE(connect());
  const std::string other_prefill_engine = backend_of_last();
  CHECK(other_prefill_engine.starts_with("p"));
  CHECK(other_prefill_engine != prefill_engine);
  last().answer(200, {}, "handle=1");
  const std::string runner = backend_of_last();
  REQUIRE(runner.starts_with("e"));
  back_off(runner.c_str());
  CHECK_FALSE(connect());
  CHECK(backend_of_last() != runner);
  CHECK(last().header(names.cache_source) == other_prefill_engine + ":1/1");
  CHECK(transport.sent_without_reply.empty());
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a granted claim is not used if its back end has begun to back off") {
  gate.claims_pending = true;
  request("/once/x");
  const BackendId first = gate.claims.front().first;
  gate.backed_off.insert(first);
  gate.full.insert(first);
  gate.settle(true);
  CHECK(sends() == 0);
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.claims.front().first != first);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "if all back ends back off a request is refused as not run, with the time until "
                  "the first backoff ends, and without charge to the retry budget") {
  const auto refused_caller = request("/once-twice/x");
  back_off_all();
  last().answer(503, {{names.not_run, "1"}, {names.retry_after, "3"}}, "");
  const auto later = request("/idempotent/x");
  for (const auto& caller : {refused_caller, later}) {
    REQUIRE(caller->finished);
    CHECK(caller->head.status == 503);
    CHECK(std::stod(caller->header("retry-after")) == doctest::Approx(0.7));
    CHECK(caller->body.find("backing-off") != std::string::npos);
  }
  CHECK(sends() == 1);
  CHECK(statistics.retries == 0);
  CHECK(statistics.budget_denied == 0);
  CHECK(statistics.backing_off == 2);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "Retry-After is short if only the refusing back end backs off") {
  const auto caller = request("/once/x");
  back_off(backend_of_last().c_str());
  last().answer(503, {{names.not_run, "1"}, {names.retry_after, "3"}}, "");
  REQUIRE(caller->finished);
  CHECK(std::stod(caller->header("retry-after")) < 0.1);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a failed stream is retried at a back end that does not back off") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("e2", "llm", EngineRole::kDecode);
  add_backend("e3", "llm", EngineRole::kDecode);
  const auto caller = request("/resumable/x");
  const std::string first = backend_of_last();
  last().observer->on_head({200, {signature()}});
  last().observer->on_body("id: 1\ndata: x\n\n");
  const std::string backing_off = first == "e1" ? "e2" : "e1";
  back_off(backing_off.c_str());
  last().fail(http::HttpErrc::kReset, true);
  REQUIRE(sends() == 2);
  CHECK(backend_of_last() != first);
  CHECK(backend_of_last() != backing_off);
  CHECK(last().header(names.last_event) == "1");
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a prefill engine that backs off gets no call to release a cache") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("p1", "llm", EngineRole::kPrefill);
  const auto caller = request(
      "/stream/x", {{names.prompt_parts, "aa:6300,bb:2000"}, {names.token_counts, "8300,20"}});
  REQUIRE(backend_of_last() == "p1");
  last().answer(200, {}, "handle=1");
  back_off("p1");
  caller->disconnect();
  CHECK(transport.sent_without_reply.empty());
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a back end that refuses requests without Retry-After gets fewer requests") {
  std::size_t refused = 0;
  for (int i = 0; i != 60; ++i) {
    const auto caller = request("/once-twice/x");
    if (backend_of_last() == "b1") {
      ++refused;
      last().answer(503, {{names.not_run, "1"}}, "");
    }
    last().answer(200, {signature()}, "ok");
    CHECK(caller->head.status == 200);
    advance(50ms);
  }
  CHECK(refused >= 1);
  CHECK(refused <= 6);
}

TEST_CASE_FIXTURE(BackedOffFixture, "an engine that refused a prompt is not assumed to cache it") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("e2", "llm", EngineRole::kDecode);
  request("/resumable/x",
          {{names.prompt_parts, "aa:6300,bb:2000"}, {names.token_counts, "8300,20"}});
  const BackendId first(backend_of_last());
  const std::uint64_t shared = parse_prompt("aa:6300,bb:2000", "8300,20").parts[0].key;
  CHECK(loads.find(first)->holds(shared, time.now()));
  last().answer(503, {{names.not_run, "1"}}, "");
  CHECK_FALSE(loads.find(first)->holds(shared, time.now()));
  CHECK(loads.find(BackendId(backend_of_last()))->holds(shared, time.now()));
}
