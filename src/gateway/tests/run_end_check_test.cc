// Tests of what a request does while it is not known whether the run of its stream has ended.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/resume_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::FakeCaller;
using gateway::testing::ResumeFixture;
using http::HttpErrc;

namespace {

/// The test answers what is asked about runs.
struct CheckFixture : ResumeFixture {
  CheckFixture() { run_inquiry.answers_at_once = false; }
};

}  // namespace

// Guards against a stream that goes on at its backup engine while the engine before works on it.
TEST_CASE_FIXTURE(CheckFixture, "a broken stream is resumed only once its run has ended") {
  const auto caller = begin("/stream/x");
  advance(300ms);
  run->fail(HttpErrc::kReset, true);
  REQUIRE(run_inquiry.queries.size() == 1);
  const RunQuery& query = run_inquiry.queries.front();
  CHECK(query.engine == runner_id());
  CHECK(query.address == run->request.endpoint);
  CHECK(query.id == "r1");
  CHECK(time.now() - query.first_event == 300ms);
  CHECK(query.engine_registered);
  CHECK(query.patience > 0ms);
  advance(500ms);
  CHECK(sends() == 1);
  CHECK_FALSE(caller->ended());
  SUBCASE("ended") {
    run_inquiry.settle(RunVerdict::kEnded);
    CHECK(resumed_at_backup());
    CHECK(last().header("x-deadline-ms") == "1200");
  }
  SUBCASE("not shown") {
    run_inquiry.settle(RunVerdict::kNotShown);
    CHECK(sends() == 1);
    CHECK(caller->aborted);
    CHECK(statistics.streams_not_resumed == 1);
    CHECK(statistics.retries == 0);
  }
}

// A retry is another run, which the route allows.
TEST_CASE_FIXTURE(CheckFixture,
                  "a retryable stream is retried if its run is not shown to have ended") {
  const auto caller = begin("/resumable/x");
  run->fail(HttpErrc::kReset, true);
  REQUIRE(run_inquiry.queries.size() == 1);
  CHECK(run_inquiry.queries.front().patience == 0ms);
  CHECK(sends() == 1);
  run_inquiry.settle(RunVerdict::kNotShown);
  REQUIRE(sends() == 2);
  CHECK(last().header(names.cache_source).empty());
  CHECK(last().header("last-event-id") == "1");
  CHECK_FALSE(caller->ended());
}

// The conditions for a resume may change while the engine is asked.
TEST_CASE_FIXTURE(CheckFixture, "the conditions for a resume are checked again after the verdict") {
  const auto caller = begin("/stream/x");
  run->fail(HttpErrc::kReset, true);
  REQUIRE(run_inquiry.pending.size() == 1);
  SUBCASE("backup engine leaving") {
    fleet.note_leaving(backup_id());
  }
  SUBCASE("backup engine unregistered") {
    fleet.remove(backup_id());
  }
  SUBCASE("backup engine backing off") {
    gate.backed_off.insert(backup_id());
  }
  SUBCASE("quarantined") {
    guard.verdict = SendVerdict::kRefused;
  }
  SUBCASE("caller disconnected") {
    caller->disconnect();
  }
  SUBCASE("stopped") {
    gateway_under_test.finish_all();
  }
  SUBCASE("deadline") {
    advance(2s);
  }
  run_inquiry.settle(RunVerdict::kEnded);
  CHECK(sends() == 1);
  CHECK((caller->aborted || caller->disconnected));
}

TEST_CASE_FIXTURE(CheckFixture, "an engine whose address another process has is not asked") {
  begin("/stream/x");
  loads.find_or_create(runner_id()).end(AttemptOutcome::kReplaced, time.now());
  run->fail(HttpErrc::kReset, true);
  CHECK(run_inquiry.queries.empty());
  CHECK(resumed_at_backup());
}

TEST_CASE("without a way to ask, no stream is resumed") {
  ResumeFixture f;
  Environment environment = f.environment_with(&f.guard, &f.gate);
  environment.runs = nullptr;
  Gateway gateway(environment, [](auto done) { done(true); });
  auto caller = std::make_shared<FakeCaller>();
  gateway.handle({"POST",
                  "/stream/x",
                  "",
                  {{"host", "h"},
                   {"x-request-id", "r1"},
                   {f.names.prompt_parts, "aa:100,bb:100"},
                   {f.names.token_counts, "200,6000"}},
                  "body"},
                 caller);
  f.last().observer->on_head({200, {f.signature()}});
  f.last().observer->on_body("id: 1\ndata: a\n\n");
  f.last().fail(HttpErrc::kReset, true);
  CHECK(f.sends() == 1);
  CHECK(caller->aborted);
}

// Guards against a stream that goes on at its backup engine while its engine, which left without
// notice, pauses.
TEST_CASE_FIXTURE(CheckFixture,
                  "a stream leaves a silent unregistered engine only once its run has ended") {
  const auto caller = begin("/stream/x");
  fleet.remove(runner_id());
  gateway_under_test.on_backend_unregistered(runner_id());
  advance(1s);
  REQUIRE(run_inquiry.pending.size() == 1);
  CHECK_FALSE(run_inquiry.queries.front().engine_registered);
  CHECK(run->reading);
  CHECK(sends() == 1);
  SUBCASE("ended") {
    run_inquiry.settle(RunVerdict::kEnded);
    CHECK(resumed_at_backup());
    CHECK_FALSE(run->reading);
  }
  SUBCASE("not shown: asked again while it stays silent") {
    run_inquiry.settle(RunVerdict::kNotShown);
    CHECK(run->open);
    CHECK(sends() == 1);
    advance(300ms);
    CHECK(run_inquiry.queries.size() == 1);
    advance(700ms);
    CHECK(run_inquiry.queries.size() == 2);
  }
  SUBCASE("it goes on before the verdict") {
    run->observer->on_body("ta: b\n\n");
    run_inquiry.settle(RunVerdict::kEnded);
    CHECK(sends() == 1);
    run->observer->on_complete();
    CHECK(caller->finished);
  }
  SUBCASE("part of an event arrives before the verdict") {
    run->observer->on_body("ta");
    run_inquiry.settle(RunVerdict::kEnded);
    CHECK(sends() == 1);
    advance(1s);
    CHECK(run_inquiry.queries.size() == 2);
  }
  SUBCASE("its connection breaks before the verdict") {
    run->fail(HttpErrc::kReset, true);
    REQUIRE(run_inquiry.pending.size() == 2);
    run_inquiry.settle(RunVerdict::kEnded);
    CHECK(sends() == 1);
    run_inquiry.settle(RunVerdict::kEnded);
    CHECK(resumed_at_backup());
  }
}

TEST_CASE_FIXTURE(
    CheckFixture,
    "a retryable stream of a silent unregistered engine is retried after the verdict") {
  begin("/resumable/x");
  fleet.remove(runner_id());
  gateway_under_test.on_backend_unregistered(runner_id());
  advance(1s);
  REQUIRE(run_inquiry.pending.size() == 1);
  CHECK(sends() == 1);
  run_inquiry.settle(RunVerdict::kNotShown);
  CHECK(sends() == 2);
  CHECK(last().header(names.cache_source).empty());
  CHECK(run->open);
}
