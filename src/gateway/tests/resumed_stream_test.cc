// Tests of streams whose engine fails: when they are resumed at the engine that holds their copy,
// and with which request.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "tests/resume_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::FakeCaller;
using gateway::testing::FakeExchange;
using gateway::testing::FakeGate;
using gateway::testing::ResumeFixture;
using http::HttpErrc;

TEST_CASE_FIXTURE(ResumeFixture,
                  "only long streams of replicating engines are sent with a backup engine") {
  ask("/stream/x");
  CHECK_FALSE(backup.empty());
  CHECK(backup != run->request.endpoint.value());
  ask("/stream/x", "200,599");
  CHECK(backup.empty());
  Configuration plain = make_configuration(3);
  plain.services[1].engine->tokens_per_event = 75;
  fleet.apply(std::move(plain));
  ask("/stream/x");
  CHECK(backup.empty());
  CHECK(statistics.streams_replicated == 1);
}

// Guards against lost, duplicate or truncated events, and against a second response head.
TEST_CASE_FIXTURE(ResumeFixture,
                  "a stream that fails inside an event is resumed after the last complete event") {
  const auto caller = begin("/stream/x");
  advance(300ms);
  run->fail(HttpErrc::kTruncated, true);
  REQUIRE(resumed_at_backup());
  CHECK(last().header("last-event-id") == "1");
  CHECK(last().header("x-deadline-ms") == "1700");
  CHECK(statistics.retries == 1);
  last().answer(200, {{names.signature, "other"}},
                "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(caller->header(names.signature) == "sig");
  CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(caller->finished);
  CHECK(statistics.resumes_completed == 1);
}

// Guards against running a request twice that must not be retried: an engine that crashes during
// prefill leaves no copy, and an engine without a copy would run the request again.
TEST_CASE_FIXTURE(ResumeFixture, "a stream that fails before its first event is not resumed") {
  bool head_received = false;
  SUBCASE("after the response head") {
    head_received = true;
  }
  SUBCASE("before the response head") {}
  const auto caller = ask("/stream/x");
  if (head_received) {
    run->observer->on_head({200, {signature()}});
  }
  run->fail(head_received ? HttpErrc::kTruncated : HttpErrc::kStaleConnection, true);
  CHECK(sends() == 1);
  CHECK(caller->ended());
  CHECK(statistics.resume_attempts == 0);
}

// Guards against running a request again that must not be retried, and against not retrying one
// that may be.
TEST_CASE("if its resume fails, only a retryable stream is sent again") {
  for (const std::string path : {"/stream/x", "/resumable/x"}) {
    for (const HttpErrc failure : {HttpErrc::kReset, HttpErrc::kConnect, HttpErrc::kWithdrawn}) {
      CAPTURE(path);
      CAPTURE(http::describe(failure));
      ResumeFixture fixture;
      const auto caller = fixture.begin(path);
      fixture.run->fail(HttpErrc::kReset, true);
      REQUIRE(fixture.resumed_at_backup());
      if (failure == HttpErrc::kReset) {
        fixture.last().answer(503, {{fixture.names.not_run, "1"}}, "");
        CHECK(fixture.statistics.resumes_refused == 1);
      } else {
        fixture.last().fail(failure, false);
      }
      const bool retryable = path == "/resumable/x";
      REQUIRE(fixture.sends() == (retryable ? 3 : 2));
      CHECK(caller->aborted == !retryable);
      // A resume that was not sent leaves its unit of the budget to the next send.
      CHECK(fixture.statistics.retries == (retryable && failure == HttpErrc::kReset ? 2 : 1));
      if (retryable) {
        CHECK(fixture.last().request.endpoint != fixture.run->request.endpoint);
        CHECK(fixture.last().header(fixture.names.cache_source).empty());
        CHECK(fixture.last().header("last-event-id") == "1");
      }
    }
  }
}

TEST_CASE_FIXTURE(ResumeFixture,
                  "after a second failure a stream is retried only if its route allows it") {
  const auto once = begin("/stream/x");
  run->fail(HttpErrc::kReset, true);
  last().fail(HttpErrc::kReset, true);
  CHECK(sends() == 2);
  CHECK(once->aborted);
  CHECK(guard.kinds.size() == 2);

  transport.started.clear();
  const auto retried = begin("/thrice/x");
  run->fail(HttpErrc::kReset, true);
  REQUIRE(resumed_at_backup());
  last().fail(HttpErrc::kReset, true);
  REQUIRE(sends() == 3);
  CHECK(last().header(names.cache_source).empty());
  CHECK(last().header(names.cache_backup).empty());
  CHECK(last().header("last-event-id") == "1");
  last().fail(HttpErrc::kReset, true);
  CHECK(retried->aborted);
}

// Guards against a stream that fails although neither a retry nor a resume was tried.
TEST_CASE_FIXTURE(ResumeFixture,
                  "after a failure on a stale connection a stream is sent again only if its route "
                  "has an attempt left") {
  ask("/resumable/x");
  run->fail(HttpErrc::kStaleConnection, true);
  CHECK(sends() == 2);
  CHECK(last().header(names.cache_source).empty());
  transport.started.clear();
  ask("/last/x");
  run->fail(HttpErrc::kStaleConnection, true);
  CHECK(sends() == 1);
}

// Guards against running the stream at two engines at once.
TEST_CASE_FIXTURE(
    ResumeFixture,
    "a stream leaves an unresponsive engine only if the engine is known to have terminated") {
  const auto caller = begin("/stream/x");
  SUBCASE("timed out") {
    run->fail(HttpErrc::kTimeout, true);
    CHECK(sends() == 1);
    CHECK(caller->aborted);
  }
  SUBCASE("unregistered, but still sending") {
    fleet.remove(runner_id());
    gateway_under_test.on_backend_unregistered(runner_id());
    for (const char* rest : {"ta: b\n\n", "id: 3\ndata: c\n\n"}) {
      advance(800ms);
      run->observer->on_body(rest);
    }
    CHECK(sends() == 1);
  }
  SUBCASE("unregistered together with its backup engine") {
    fleet.remove(backup_id());
    fleet.remove(runner_id());
    gateway_under_test.on_backend_unregistered(runner_id());
    advance(1500ms);
    CHECK(run->open);
    CHECK(sends() == 1);
  }
  SUBCASE("unregistered while the caller reads nothing and reading is stopped") {
    caller->buffered = 1;
    fleet.remove(runner_id());
    gateway_under_test.on_backend_unregistered(runner_id());
    advance(1500ms);
    CHECK(run->open);
  }
  SUBCASE("unregistered and unresponsive") {
    fleet.remove(runner_id());
    gateway_under_test.on_backend_unregistered(runner_id());
    advance(800ms);
    CHECK(run->reading);
    advance(200ms);
    CHECK_FALSE(run->reading);
    CHECK(resumed_at_backup());
  }
}

TEST_CASE(
    "a stream whose engine is unregistered goes on there if its backup engine cannot resume") {
  ResumeFixture f;
  const auto caller = f.begin("/stream/x");
  f.fleet.remove(f.runner_id());
  f.gateway_under_test.on_backend_unregistered(f.runner_id());
  SUBCASE("refused") {
    f.advance(900ms);
    REQUIRE(f.resumed_at_backup());
    f.last().answer(503, {{f.names.not_run, "1"}}, "");
  }
  SUBCASE("reset") {
    f.advance(900ms);
    REQUIRE(f.resumed_at_backup());
    f.last().fail(HttpErrc::kReset, true);
  }
  SUBCASE("not connected") {
    f.advance(900ms);
    REQUIRE(f.resumed_at_backup());
    f.last().fail(HttpErrc::kConnect, false);
  }
  SUBCASE("denied later") {
    f.gate.claims_pending = true;
    f.advance(900ms);
    REQUIRE(f.gate.claims.size() == 1);
    f.gate.settle(false);
  }
  SUBCASE("budget") {
    f.budget.set({0, 0, 10s});
    f.advance(900ms);
  }
  SUBCASE("quarantined") {
    f.guard.verdict = SendVerdict::kRefused;
    f.advance(900ms);
  }
  REQUIRE_FALSE(caller->ended());
  REQUIRE(f.run->open);
  CHECK(f.run->reading);
  f.run->observer->on_body("ta: b\n\n");
  f.run->observer->on_complete();
  CHECK(caller->finished);
  CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a run that goes on at two engines.
TEST_CASE_FIXTURE(ResumeFixture,
                  "nothing is read from an unregistered engine while its backup engine resumes") {
  const auto caller = begin("/stream/x");
  fleet.remove(runner_id());
  gateway_under_test.on_backend_unregistered(runner_id());
  advance(900ms);
  REQUIRE(resumed_at_backup());
  CHECK_FALSE(run->reading);
  last().observer->on_head({200, {{names.signature, "other"}}});
  CHECK_FALSE(run->open);
  last().observer->on_body("id: 2\ndata: b\n\n");
  last().observer->on_complete();
  CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(caller->finished);
}

// Guards against a send that exceeds the budget, goes to an engine that is leaving, or is not
// allowed for the request.
TEST_CASE_FIXTURE(ResumeFixture, "a stream is not resumed if a condition for it is not met") {
  const auto caller = begin("/stream/x");
  SUBCASE("budget") {
    budget.set({0, 0, 10s});
  }
  SUBCASE("leaving") {
    fleet.note_leaving(backup_id());
  }
  SUBCASE("backing off") {
    gate.backed_off.insert(backup_id());
  }
  SUBCASE("full") {
    gate.full.insert(backup_id());
  }
  SUBCASE("denied") {
    gate.denies.insert(backup_id());
  }
  SUBCASE("unregistered") {
    fleet.remove(backup_id());
  }
  SUBCASE("quarantined") {
    guard.verdict = SendVerdict::kRefused;
  }
  SUBCASE("trial due") {
    guard.verdict = SendVerdict::kTrialDue;
  }
  SUBCASE("no time") {
    advance(1999ms);
  }
  run->fail(HttpErrc::kReset, true);
  CHECK(sends() == 1);
  CHECK(caller->aborted);
  CHECK_FALSE(caller->finished);
}

// Guards against charging the retry budget for a send that a rate limit denied.
TEST_CASE_FIXTURE(ResumeFixture,
                  "a denied resume and the retry after it take one unit of the retry budget") {
  begin("/resumable/x");
  SUBCASE("at once") {
    gate.denies.insert(backup_id());
    run->fail(HttpErrc::kReset, true);
  }
  SUBCASE("later") {
    gate.claims_pending = true;
    run->fail(HttpErrc::kReset, true);
    REQUIRE(gate.claims.size() == 1);
    gate.claims_pending = false;
    gate.settle(false);
  }
  CHECK(sends() == 2);
  CHECK(last().header(names.cache_source).empty());
  CHECK(statistics.retries == 1);
}

// The conditions for a resume may change while its claim is pending.
TEST_CASE_FIXTURE(ResumeFixture,
                  "the conditions for a resume are checked again when its claim is granted") {
  const auto caller = begin("/stream/x");
  gate.claims_pending = true;
  run->fail(HttpErrc::kReset, true);
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.ranks.back() == kStartedStreamRank);
  bool granted = true;
  SUBCASE("granted") {
    gate.settle(true);
    CHECK(resumed_at_backup());
    return;
  }
  SUBCASE("denied") {
    granted = false;
  }
  SUBCASE("leaving") {
    fleet.note_leaving(backup_id());
  }
  SUBCASE("backing off") {
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
  gate.settle(granted);
  CHECK(sends() == 1);
  CHECK((caller->aborted || caller->disconnected));
}

// Guards against work at the backup engine for a caller that has left.
TEST_CASE_FIXTURE(ResumeFixture, "a resumed stream is not sent once its caller has left") {
  const auto caller = begin("/stream/x");
  run->fail(HttpErrc::kReset, true);
  REQUIRE(resumed_at_backup());
  caller->unnoticed_disconnect = true;
  CHECK_FALSE(connect());
  CHECK(sends() == 2);
  CHECK(gateway_under_test.running() == 0);
  CHECK(statistics.sends_without_caller == 1);
}

// Guards against giving a second engine to a request that crashes its engines.
TEST_CASE_FIXTURE(ResumeFixture, "the trial of a quarantined request has no backup") {
  guard.verdict = SendVerdict::kTrialDue;
  ask("/stream/x");
  guard.trial(true);
  REQUIRE(sends() == 1);
  CHECK(last().header(names.cache_backup).empty());
  last().fail(HttpErrc::kReset, true);
  CHECK(sends() == 1);
}

// Guards against releasing the handle while the runner uses it, and against sending it to the
// backup engine together with the run.
TEST_CASE_FIXTURE(ResumeFixture,
                  "a cache handle that the first engine used is not sent to the backup engine") {
  add_backend("p1", "llm", EngineRole::kPrefill);
  const auto caller = ask("/stream/x", "18000,6000", {{names.prompt_parts, "cc:9000,dd:9000"}});
  REQUIRE(last().header(names.phase) == "prefill");
  CHECK(backup.empty());
  last().answer(200, {}, "handle=h7");
  run = transport.started.back();
  backup = run->header(names.cache_backup);
  CHECK(run->header(names.cache_source) == "p1:1/h7");
  REQUIRE_FALSE(backup.empty());
  run->observer->on_head({200, {signature()}});
  run->observer->on_body("id: 1\ndata: a\n\n");
  run->fail(HttpErrc::kReset, true);
  CHECK(last().request.endpoint.value() == backup);
  CHECK(last().header(names.cache_source) == run->request.endpoint.value() + "/r1");
  CHECK(transport.sent_without_reply.empty());
}

// Guards against missing or duplicate events.
TEST_CASE_FIXTURE(ResumeFixture, "a stream without event ids is not resumed") {
  const auto caller = ask("/stream/x");
  run->observer->on_head({200, {signature()}});
  run->observer->on_body("data: a\n\n");
  run->fail(HttpErrc::kTruncated, true);
  CHECK(sends() == 1);
  CHECK(caller->aborted);
  CHECK(statistics.streams_not_resumed == 1);
}

// Guards against a stream that its back end broke off and that is taken for complete, because the
// answer has neither a length nor chunks or its framing ended inside an event.
TEST_CASE_FIXTURE(ResumeFixture, "a stream whose answer ends inside an event was broken off") {
  SUBCASE("resumed at its backup engine") {
    const auto caller = begin("/stream/x");
    run->observer->on_complete();
    REQUIRE(resumed_at_backup());
    CHECK(last().header("last-event-id") == "1");
    CHECK(caller->body == "id: 1\ndata: a\n\n");
    last().answer(200, {{names.signature, "other"}}, "id: 2\ndata: b\n\n");
    CHECK(caller->finished);
    CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }
  SUBCASE("retried") {
    const auto caller = ask("/resumable/x", "200,75");
    REQUIRE(backup.empty());
    run->observer->on_head({200, {signature()}});
    run->observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
    run->observer->on_complete();
    REQUIRE(sends() == 2);
    CHECK(last().header("last-event-id") == "1");
    CHECK(statistics.retries == 1);
  }
  SUBCASE("ended as incomplete") {
    const auto caller = ask("/stream/x", "200,75");
    run->observer->on_head({200, {signature()}});
    run->observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
    run->observer->on_complete();
    CHECK(sends() == 1);
    CHECK(caller->aborted);
    CHECK_FALSE(caller->finished);
    CHECK(caller->body == "id: 1\ndata: a\n\n");
    CHECK(statistics.broken == 1);
    CHECK(statistics.answered == 0);
  }
  CHECK(guard.kinds == std::vector{AttemptFailureKind::kClosed});
}

// Guards against a back end that fails after the head of its answer: the caller would get an empty
// stream as a success.
TEST_CASE_FIXTURE(ResumeFixture,
                  "a stream without an event is complete only if its answer says so") {
  http::ResponseHead head{200, {signature()}};
  SUBCASE("ended by the connection") {
    head.ends_with_connection = true;
    const auto caller = ask("/stream/x");
    run->observer->on_head(head);
    run->observer->on_complete();
    CHECK(caller->head.status == 502);
    CHECK(guard.kinds == std::vector{AttemptFailureKind::kClosed});
  }
  SUBCASE("ended by the connection, retryable") {
    head.ends_with_connection = true;
    ask("/resumable/x", "200,75");
    run->observer->on_head(head);
    run->observer->on_complete();
    CHECK(sends() == 2);
  }
  SUBCASE("ended by its length or last chunk") {
    const auto caller = ask("/stream/x");
    run->observer->on_head(head);
    run->observer->on_complete();
    CHECK(caller->head.status == 200);
    CHECK(caller->finished);
    CHECK(guard.kinds.empty());
  }
}
