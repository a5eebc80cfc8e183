// Requests at back ends that have asked for nothing more.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/played_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatedFixture;

namespace {

struct BackedOffFixture : GatedFixture {
  /// The back end asks for nothing more.
  void pause(const char* id) {
    gate.full.insert(BackendId(id));
    gate.paused.insert(BackendId(id));
    gate.backing_off = true;
  }
  void pause_all() {
    for (const char* id : {"b1", "b2", "b3"}) {
      pause(id);
    }
  }
  std::string backend_of_last() {
    const std::string& address = last().request.endpoint.value();
    return address.substr(0, address.find(':'));
  }
  /// The connection is there; nothing leaves if the request is not wanted any more.
  bool connect() {
    const bool leaves = last().request.may_send();
    if (!leaves) {
      last().fail(http::HttpErrc::kWithdrawn, false);
    }
    return leaves;
  }
};

}  // namespace

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a request that waits for a connection to a back end that asks to back off "
                  "meanwhile goes elsewhere") {
  const auto caller = request("/once/x");
  const std::string first = backend_of_last();
  pause(first.c_str());
  CHECK_FALSE(connect());
  REQUIRE(sends() == 2);
  CHECK(backend_of_last() != first);
  CHECK(connect());
  last().answer(200, {signature()}, "ok");
  CHECK(caller->head.status == 200);
  CHECK(statistics.repeats == 0);
  CHECK(statistics.withdrawn == 1);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a prompt whose reader asks to back off while it waits for a connection is read "
                  "elsewhere, and a reader's cache outlives a runner that does") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("e2", "llm", EngineRole::kDecode);
  add_backend("p1", "llm", EngineRole::kPrefill);
  add_backend("p2", "llm", EngineRole::kPrefill);
  const auto caller = request(
      "/stream/x", {{names.prompt_parts, "aa:6300,bb:2000"}, {names.token_counts, "8300,20"}});
  const std::string reader = backend_of_last();
  REQUIRE(reader.starts_with("p"));
  pause(reader.c_str());
  CHECK_FALSE(connect());
  const std::string other_reader = backend_of_last();
  CHECK(other_reader.starts_with("p"));
  CHECK(other_reader != reader);
  last().answer(200, {}, "handle=1");
  const std::string runner = backend_of_last();
  REQUIRE(runner.starts_with("e"));
  pause(runner.c_str());
  CHECK_FALSE(connect());
  CHECK(backend_of_last() != runner);
  CHECK(last().header(names.cache_source) == other_reader + ":1/1");
  CHECK(transport.forgotten.empty());
}

TEST_CASE_FIXTURE(BackedOffFixture, "a permit for a back end that backs off by now is not used") {
  gate.asks = true;
  request("/once/x");
  const BackendId first = gate.claims.front().first;
  gate.paused.insert(first);
  gate.full.insert(first);
  gate.settle(true);
  CHECK(sends() == 0);
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.claims.front().first != first);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "where all back off a request is refused at once as not run, with the time to "
                  "the first end, and nothing is taken out of the budget") {
  const auto turned_away = request("/once-twice/x");
  pause_all();
  last().answer(503, {{names.not_run, "1"}, {names.retry_after, "3"}}, "");
  const auto later = request("/idempotent/x");
  for (const auto& caller : {turned_away, later}) {
    REQUIRE(caller->finished);
    CHECK(caller->head.status == 503);
    CHECK(std::stod(caller->header("retry-after")) == doctest::Approx(0.7));
    CHECK(caller->body.find("backing-off") != std::string::npos);
  }
  CHECK(sends() == 1);
  CHECK(statistics.repeats == 0);
  CHECK(statistics.budget_denied == 0);
  CHECK(statistics.backing_off == 2);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a caller that is turned away once comes back soon where others have room") {
  const auto caller = request("/once/x");
  pause(backend_of_last().c_str());
  last().answer(503, {{names.not_run, "1"}, {names.retry_after, "3"}}, "");
  REQUIRE(caller->finished);
  CHECK(std::stod(caller->header("retry-after")) < 0.1);
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a stream that breaks off is taken up where no back end has asked for nothing") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("e2", "llm", EngineRole::kDecode);
  add_backend("e3", "llm", EngineRole::kDecode);
  const auto caller = request("/resumable/x");
  const std::string first = backend_of_last();
  last().observer->on_head({200, {signature()}});
  last().observer->on_body("id: 1\ndata: x\n\n");
  const std::string paused = first == "e1" ? "e2" : "e1";
  pause(paused.c_str());
  last().fail(http::HttpErrc::kReset, true);
  REQUIRE(sends() == 2);
  CHECK(backend_of_last() != first);
  CHECK(backend_of_last() != paused);
  CHECK(last().header(names.last_event) == "1");
}

TEST_CASE_FIXTURE(BackedOffFixture, "a reader that backs off is not asked to free a cache") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("p1", "llm", EngineRole::kPrefill);
  const auto caller = request(
      "/stream/x", {{names.prompt_parts, "aa:6300,bb:2000"}, {names.token_counts, "8300,20"}});
  REQUIRE(backend_of_last() == "p1");
  last().answer(200, {}, "handle=1");
  pause("p1");
  caller->leave();
  CHECK(transport.forgotten.empty());
}

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a back end that turns requests away without a time is asked less often") {
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

TEST_CASE_FIXTURE(BackedOffFixture,
                  "a prompt is not believed to be kept by an engine that turned it away") {
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
