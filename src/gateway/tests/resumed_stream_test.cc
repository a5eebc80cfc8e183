// Streams whose server ends: when they go on at the engine that holds their copy, and as what.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "tests/fake_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::FakeCaller;
using gateway::testing::FakeExchange;
using gateway::testing::FakeGate;
using gateway::testing::GatewayFixture;
using http::HttpErrc;

namespace {

/// Lets requests pass until the test says otherwise.
class SwitchedGuard final : public RequestGuard {
 public:
  bool watching() const override { return verdict != SendVerdict::kAllowed; }
  SendVerdict judge(const RequestFingerprint& /*request*/) override { return verdict; }
  Duration retry_after(const RequestFingerprint& /*request*/) const override { return 1s; }
  void claim_trial(const RequestFingerprint& /*request*/, std::function<void(bool)> done) override {
    trial = std::move(done);
  }
  void note_break(const FailedAttempt& attempt) override { kinds.push_back(attempt.kind); }
  void note_answer(const AnsweredAttempt& /*attempt*/) override {}

  SendVerdict verdict = SendVerdict::kAllowed;
  std::function<void(bool)> trial;
  std::vector<AttemptFailureKind> kinds;
};

/// Engines `e1` to `e4` that replicate; `/stream/` may not be repeated, `/resumable/` once,
/// `/thrice/` twice, and `/last/` might, but for its attempts.
struct BackupWorld : GatewayFixture {
  SwitchedGuard guard;
  FakeGate gate;
  Gateway served{environment_with(&guard, &gate), [](auto done) { done(true); }};
  std::shared_ptr<FakeExchange> run;  ///< Of the last stream that was begun.
  std::string backup;                 ///< Its backup engine.

  BackupWorld() {
    Configuration configuration = make_configuration(2);
    configuration.routes.push_back(make_route("/thrice/", RequestKind::kStreaming, "llm", 3, true));
    configuration.routes.push_back(make_route("/last/", RequestKind::kStreaming, "llm", 1, true));
    configuration.services[1].engine->backs_up_streams = true;
    configuration.services[1].engine->tokens_per_event = 75;
    fleet.apply(std::move(configuration));
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      add_backend(id, "llm", EngineRole::kDecode);
    }
  }
  std::shared_ptr<FakeCaller> ask(const std::string& path, const char* counts = "200,6000",
                                  std::vector<http::Header> headers = {}) {
    headers.insert(headers.end(), {{"host", "h"},
                                   {"x-request-id", "r1"},
                                   {names.prompt_parts, "aa:100,bb:100"},
                                   {names.token_counts, counts}});
    auto caller = std::make_shared<FakeCaller>();
    served.handle({"POST", path, "", std::move(headers), "body"}, caller);
    run = transport.started.empty() ? nullptr : transport.started.back();
    backup = run ? run->header(names.cache_backup) : "";
    return caller;
  }
  /// A stream of which one event and half of the next have come.
  std::shared_ptr<FakeCaller> begin(const std::string& path) {
    auto caller = ask(path);
    REQUIRE_FALSE(backup.empty());
    run->observer->on_head({200, {signature()}});
    run->observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
    return caller;
  }
  BackendId backup_id() const { return BackendId(backup.substr(0, backup.find(':'))); }
  BackendId runner_id() const {
    const std::string address = run->request.endpoint.value();
    return BackendId(address.substr(0, address.find(':')));
  }
  bool continues() {
    return sends() == 2 && last().request.endpoint.value() == backup &&
           last().header(names.cache_source) == run->request.endpoint.value() + "/r1" &&
           last().header(names.cache_backup).empty();
  }
};

}  // namespace

TEST_CASE_FIXTURE(BackupWorld, "a copy is asked for of long streams alone") {
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

// Events would be lost, repeated or cut, or the caller see two answers.
TEST_CASE_FIXTURE(BackupWorld,
                  "a stream broken inside an event goes on behind the last whole one") {
  const auto caller = begin("/stream/x");
  advance(300ms);
  run->fail(HttpErrc::kTruncated, true);
  REQUIRE(continues());
  CHECK(last().header("last-event-id") == "1");
  CHECK(last().header("x-deadline-ms") == "1700");
  CHECK(statistics.repeats == 1);
  last().answer(200, {{names.signature, "other"}},
                "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(caller->header(names.signature) == "sig");
  CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(caller->finished);
  CHECK(statistics.continued_whole == 1);
}

// An engine without a copy would run a request that may not be repeated a second time: a prompt
// that ends its server leaves no copy.
TEST_CASE_FIXTURE(BackupWorld, "a stream that breaks before its first event does not go on") {
  bool headed = false;
  SUBCASE("with the first server's head") {
    headed = true;
  }
  SUBCASE("without a head") {}
  const auto caller = ask("/stream/x");
  if (headed) {
    run->observer->on_head({200, {signature()}});
  }
  run->fail(headed ? HttpErrc::kTruncated : HttpErrc::kStaleConnection, true);
  CHECK(sends() == 1);
  CHECK(caller->ended());
  CHECK(statistics.streams_continued == 0);
}

// A request that may not be repeated would run anew, or one that may be left without its repeat.
TEST_CASE("without its copy only a stream that may be repeated is sent anew") {
  for (const std::string path : {"/stream/x", "/resumable/x"}) {
    for (const HttpErrc failure : {HttpErrc::kReset, HttpErrc::kConnect, HttpErrc::kWithdrawn}) {
      CAPTURE(path);
      CAPTURE(http::describe(failure));
      BackupWorld world;
      const auto caller = world.begin(path);
      world.run->fail(HttpErrc::kReset, true);
      REQUIRE(world.continues());
      if (failure == HttpErrc::kReset) {
        world.last().answer(503, {{world.names.not_run, "1"}}, "");
        CHECK(world.statistics.copies_missing == 1);
      } else {
        world.last().fail(failure, false);
      }
      const bool anew = path == "/resumable/x";
      REQUIRE(world.sends() == (anew ? 3 : 2));
      CHECK(caller->aborted == !anew);
      // A continuation that did not leave has taken the unit of the budget for the next send.
      CHECK(world.statistics.repeats == (anew && failure == HttpErrc::kReset ? 2 : 1));
      if (anew) {
        CHECK(world.last().request.endpoint != world.run->request.endpoint);
        CHECK(world.last().header(world.names.cache_source).empty());
        CHECK(world.last().header("last-event-id") == "1");
      }
    }
  }
}

TEST_CASE_FIXTURE(BackupWorld, "after a second break a stream goes on only as its route allows") {
  const auto once = begin("/stream/x");
  run->fail(HttpErrc::kReset, true);
  last().fail(HttpErrc::kReset, true);
  CHECK(sends() == 2);
  CHECK(once->aborted);
  CHECK(guard.kinds.size() == 2);

  transport.started.clear();
  const auto often = begin("/thrice/x");
  run->fail(HttpErrc::kReset, true);
  REQUIRE(continues());
  last().fail(HttpErrc::kReset, true);
  REQUIRE(sends() == 3);
  CHECK(last().header(names.cache_source).empty());
  CHECK(last().header(names.cache_backup).empty());
  CHECK(last().header("last-event-id") == "1");
  last().fail(HttpErrc::kReset, true);
  CHECK(often->aborted);
}

// A stream would end that neither its route nor its copy was asked to save.
TEST_CASE_FIXTURE(BackupWorld,
                  "a stale connection is no break only where the request is sent anew") {
  ask("/resumable/x");
  run->fail(HttpErrc::kStaleConnection, true);
  CHECK(sends() == 2);
  CHECK(last().header(names.cache_source).empty());
  transport.started.clear();
  ask("/last/x");
  run->fail(HttpErrc::kStaleConnection, true);
  CHECK(sends() == 1);
}

// The stream would run at two servers at once.
TEST_CASE_FIXTURE(BackupWorld, "a silent server is left only once it is known to have ended") {
  const auto caller = begin("/stream/x");
  SUBCASE("timed out") {
    run->fail(HttpErrc::kTimeout, true);
    CHECK(sends() == 1);
    CHECK(caller->aborted);
  }
  SUBCASE("gone, but still sending") {
    fleet.remove(runner_id());
    served.on_backend_unregistered(runner_id());
    for (const char* rest : {"ta: b\n\n", "id: 3\ndata: c\n\n"}) {
      advance(800ms);
      run->observer->on_body(rest);
    }
    CHECK(sends() == 1);
  }
  SUBCASE("gone, and its backup with it") {
    fleet.remove(backup_id());
    fleet.remove(runner_id());
    served.on_backend_unregistered(runner_id());
    advance(1500ms);
    CHECK(run->open);
    CHECK(sends() == 1);
  }
  SUBCASE("gone, while the caller takes nothing and reading is stopped") {
    caller->buffered = 1;
    fleet.remove(runner_id());
    served.on_backend_unregistered(runner_id());
    advance(1500ms);
    CHECK(run->open);
  }
  SUBCASE("gone and silent") {
    fleet.remove(runner_id());
    served.on_backend_unregistered(runner_id());
    advance(800ms);
    CHECK(run->open);
    advance(200ms);
    CHECK_FALSE(run->open);
    CHECK(continues());
  }
}

// Something would be sent beyond the budget, to an engine that leaves, or for nobody.
TEST_CASE_FIXTURE(BackupWorld, "nothing is sent on where it may not be") {
  const auto caller = begin("/stream/x");
  SUBCASE("budget") {
    budget.set({0, 0, 10s});
  }
  SUBCASE("leaving") {
    fleet.note_leaving(backup_id());
  }
  SUBCASE("paused") {
    gate.paused.insert(backup_id());
  }
  SUBCASE("full") {
    gate.full.insert(backup_id());
  }
  SUBCASE("denied") {
    gate.denies.insert(backup_id());
  }
  SUBCASE("gone") {
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

// The retry budget would be charged for a send that its rate limit denied.
TEST_CASE_FIXTURE(BackupWorld, "a denied continuation and the repeat after it take one unit") {
  begin("/resumable/x");
  SUBCASE("at once") {
    gate.denies.insert(backup_id());
    run->fail(HttpErrc::kReset, true);
  }
  SUBCASE("later") {
    gate.asks = true;
    run->fail(HttpErrc::kReset, true);
    REQUIRE(gate.claims.size() == 1);
    gate.asks = false;
    gate.settle(false);
  }
  CHECK(sends() == 2);
  CHECK(last().header(names.cache_source).empty());
  CHECK(statistics.repeats == 1);
}

// The wait for leave to send would outlast what allowed it.
TEST_CASE_FIXTURE(BackupWorld, "what changes while leave is asked for is heeded") {
  const auto caller = begin("/stream/x");
  gate.asks = true;
  run->fail(HttpErrc::kReset, true);
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.ranks.back() == kStartedStreamRank);
  bool granted = true;
  SUBCASE("granted") {
    gate.settle(true);
    CHECK(continues());
    return;
  }
  SUBCASE("denied") {
    granted = false;
  }
  SUBCASE("leaving") {
    fleet.note_leaving(backup_id());
  }
  SUBCASE("paused") {
    gate.paused.insert(backup_id());
  }
  SUBCASE("quarantined") {
    guard.verdict = SendVerdict::kRefused;
  }
  SUBCASE("caller gone") {
    caller->leave();
  }
  SUBCASE("stopped") {
    served.end_all();
  }
  SUBCASE("deadline") {
    advance(2s);
  }
  gate.settle(granted);
  CHECK(sends() == 1);
  CHECK((caller->aborted || caller->gone));
}

// A request under which servers end would be given a second one.
TEST_CASE_FIXTURE(BackupWorld, "the trial of a quarantined request has no backup") {
  guard.verdict = SendVerdict::kTrialDue;
  ask("/stream/x");
  guard.trial(true);
  REQUIRE(sends() == 1);
  CHECK(last().header(names.cache_backup).empty());
  last().fail(HttpErrc::kReset, true);
  CHECK(sends() == 1);
}

// A handle would be freed under its runner, or sent to the backup beside the run.
TEST_CASE_FIXTURE(BackupWorld, "a cache handle that the first server took is not passed on") {
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
  CHECK(transport.forgotten.empty());
}

// Part of the events would be missing or come twice.
TEST_CASE_FIXTURE(BackupWorld, "a stream without event ids is not continued") {
  const auto caller = ask("/stream/x");
  run->observer->on_head({200, {signature()}});
  run->observer->on_body("data: a\n\n");
  run->fail(HttpErrc::kTruncated, true);
  CHECK(sends() == 1);
  CHECK(caller->aborted);
  CHECK(statistics.not_continued == 1);
}
