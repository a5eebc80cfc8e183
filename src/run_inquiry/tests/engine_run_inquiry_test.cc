// Tests of what shows that a run has ended, and of how often engines are asked.
#include "run_inquiry/engine_run_inquiry.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace std::chrono_literals;
using gateway::RunVerdict;
using gateway::testing::EndLogger;
using gateway::testing::FakeEngineCalls;
using http::HttpErrc;
using run_inquiry::EngineRunInquiry;

namespace {

struct InquiryFixture {
  using Done = std::function<void(Result<http::Response, http::FetchFailure>)>;

  simulation::VirtualTime time;
  FakeEngineCalls engines;
  gateway::HeaderNames names;
  EndLogger logger;
  std::deque<std::pair<http::ClientRequest, Done>> calls;  ///< Not answered yet.
  std::shared_ptr<int> asker = std::make_shared<int>();
  std::vector<RunVerdict> verdicts;
  EngineRunInquiry inquiry{
      {time, time, engines, names, logger},
      [this](const gateway::BackendId& /*engine*/, http::ClientRequest request, Done done) {
        calls.emplace_back(std::move(request), std::move(done));
      }};

  InquiryFixture() { advance(1h); }

  void advance(Duration span) { time.run_until(time.now() + span); }
  /// Asks for a run of engine `e` whose first event arrived `age` ago.
  void ask(const std::string& id, Duration age = 5s, bool registered = true,
           Duration patience = 1200ms) {
    inquiry.ask({.engine = gateway::BackendId("e"),
                 .address = Endpoint("e:1"),
                 .id = id,
                 .first_event = time.now() - age,
                 .engine_registered = registered,
                 .patience = patience,
                 .asker = asker},
                [this](RunVerdict verdict) { verdicts.push_back(verdict); });
  }
  void answer(std::uint16_t status, const std::string& body) {
    REQUIRE_FALSE(calls.empty());
    const auto done = std::move(calls.front().second);
    calls.pop_front();
    done(http::Response{{status, {}}, body});
  }
  void fail(HttpErrc code) {
    REQUIRE_FALSE(calls.empty());
    const auto done = std::move(calls.front().second);
    calls.pop_front();
    done(outcome::failure(http::FetchFailure{{code, "injected"}, false}));
  }
};

}  // namespace

// Guards against resuming a run that its engine works on, and against giving up one that is over.
TEST_CASE("only the engine's list, another process or no process show that a run has ended") {
  struct Row {
    const char* what;
    std::uint16_t status;  ///< 0: the call fails with `error`.
    const char* body;
    HttpErrc error;
    bool registered;
    bool ended;
  };
  const std::vector<Row> rows{
      {"listed", 200, "runs=r0,r1", {}, true, false},
      {"not listed", 200, "runs=r0", {}, true, true},
      {"no runs at all", 200, "runs=", {}, true, true},
      {"the answer has no list", 200, "epoch=1", {}, true, false},
      {"no such call", 404, "", {}, true, false},
      {"full", 503, "", {}, true, false},
      {"failed", 500, "runs=", {}, true, false},
      {"another process has the address", 421, "", {}, true, true},
      {"no process has the address", 0, "", HttpErrc::kRefused, true, true},
      {"reset", 0, "", HttpErrc::kReset, true, false},
      {"cut short", 0, "", HttpErrc::kTruncated, true, false},
      {"silent", 0, "", HttpErrc::kTimeout, true, false},
      {"unreachable", 0, "", HttpErrc::kConnect, true, false},
      {"takes no calls now", 0, "", HttpErrc::kWithdrawn, true, false},
      {"unregistered and listed", 200, "runs=r1", {}, false, false},
      {"unregistered and silent", 0, "", HttpErrc::kTimeout, false, false},
      {"unregistered and reset", 0, "", HttpErrc::kReset, false, false},
      {"unregistered and unreachable", 0, "", HttpErrc::kConnect, false, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.what);
    InquiryFixture f;
    f.ask("r1", 5s, row.registered, 0ms);
    if (row.status != 0) {
      f.answer(row.status, row.body);
    } else {
      f.fail(row.error);
    }
    REQUIRE(f.verdicts.size() == 1);
    CHECK((f.verdicts.front() == RunVerdict::kEnded) == row.ended);
  }
}

// Guards against a pooled connection, whose close tells nothing, and against a question that
// another process at the address answers for its own runs.
TEST_CASE_FIXTURE(InquiryFixture, "a call names the engine and opens a connection") {
  ask("r1");
  REQUIRE(calls.size() == 1);
  const http::ClientRequest& call = calls.front().first;
  CHECK(call.endpoint == Endpoint("e:1"));
  CHECK(call.path == "/runs");
  CHECK(call.fresh_connection);
  CHECK(http::find_header(call.headers, names.expected_instance) == "e");
}

// Guards against resuming a run that had not begun yet when the engine made its list.
TEST_CASE_FIXTURE(InquiryFixture, "a run that is younger than the list may be missing from it") {
  ask("r1", 700ms);
  answer(200, "runs=");
  CHECK(verdicts.empty());
  advance(50ms);
  answer(200, "runs=");
  CHECK(verdicts.empty());
  advance(150ms);
  answer(200, "runs=");
  CHECK(verdicts.empty());
  advance(250ms);
  answer(200, "runs=");
  REQUIRE(verdicts.size() == 1);
  CHECK(verdicts.front() == RunVerdict::kEnded);
}

// Guards against giving up a run whose engine drops it a moment after its connection closed.
TEST_CASE_FIXTURE(InquiryFixture,
                  "a run that is still listed is asked for again, for a bounded time") {
  ask("r1");
  SUBCASE("until it is gone") {
    answer(200, "runs=r1");
    CHECK(calls.empty());
    advance(50ms);
    answer(200, "runs=");
    CHECK(verdicts == std::vector{RunVerdict::kEnded});
  }
  SUBCASE("until patience ends") {
    int answered = 0;
    while (verdicts.empty()) {
      if (calls.empty()) {
        advance(10ms);
      } else {
        answer(200, "runs=r1");
        ++answered;
      }
    }
    CHECK(verdicts == std::vector{RunVerdict::kNotShown});
    CHECK(answered <= 8);
    CHECK(time.now() - MonotonicTime(1h) <= 1500ms);
    advance(5s);
    CHECK(calls.empty());
  }
}

// Guards against a call for each of the many streams that break when an engine crashes.
TEST_CASE_FIXTURE(InquiryFixture, "one refused connection answers for all runs of an engine") {
  for (int i = 0; i != 300; ++i) {
    ask("r" + std::to_string(i));
  }
  REQUIRE(calls.size() == 1);
  fail(HttpErrc::kRefused);
  CHECK(verdicts.size() == 300);
  ask("later");
  CHECK(calls.empty());
  CHECK(verdicts == std::vector(301, RunVerdict::kEnded));
  CHECK(inquiry.statistics().calls == 1);
}

// Guards against a run that is continued elsewhere because connections to its engine were refused
// during a partition that is over.
TEST_CASE_FIXTURE(InquiryFixture, "a refused connection is not remembered for long") {
  ask("r1");
  fail(HttpErrc::kRefused);
  CHECK(verdicts == std::vector{RunVerdict::kEnded});
  advance(200ms);
  ask("r2");
  REQUIRE(calls.size() == 1);
  answer(200, "runs=r2");
  CHECK(verdicts == std::vector{RunVerdict::kEnded});
}

TEST_CASE_FIXTURE(InquiryFixture, "one list answers for each run of an engine by itself") {
  ask("r1");
  ask("r2");
  ask("r3", 200ms);
  answer(200, "runs=r1");
  CHECK(verdicts == std::vector{RunVerdict::kEnded});
  advance(50ms);
  REQUIRE(calls.size() == 1);
  fail(HttpErrc::kRefused);
  CHECK(verdicts == std::vector(3, RunVerdict::kEnded));
}

// Guards against calls for requests that have ended, whose callers have left, and against callbacks
// into them.
TEST_CASE_FIXTURE(InquiryFixture, "a query ends with its asker") {
  ask("r1");
  asker.reset();
  answer(200, "runs=r1");
  advance(5s);
  CHECK(calls.empty());
  CHECK(verdicts.empty());
}

// Guards against losing a query that is made from within the answer to another one.
TEST_CASE_FIXTURE(InquiryFixture, "a query may be made while verdicts are given") {
  inquiry.ask({.engine = gateway::BackendId("e"),
               .address = Endpoint("e:1"),
               .id = "r1",
               .first_event = time.now() - 5s,
               .asker = asker},
              [this](RunVerdict) { ask("r2"); });
  ask("r3");
  answer(200, "runs=r3");
  REQUIRE(calls.empty());
  advance(50ms);
  REQUIRE(calls.size() == 1);
  answer(200, "runs=");
  CHECK(verdicts == std::vector(2, RunVerdict::kEnded));
}
