// Tests of the choice of a backup engine and of whether a failed stream may be resumed there.
#include "gateway/stream_backup.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>

#include "tests/fake_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::FakeGate;
using ochrespring::gateway::testing::GatewayFixture;

namespace {

struct BackupFixture {
  FleetState fleet;
  LoadTable loads;
  FakeGate gate;
  std::set<BackendId> tried;
  MonotonicTime now = MonotonicTime(1h);

  void add(const std::string& id, const std::string& zone, EngineRole role = EngineRole::kDecode) {
    Backend engine;
    engine.id = BackendId(id);
    engine.service = ServiceName("llm");
    engine.address = Endpoint(id + ":1");
    engine.zone = ZoneName(zone);
    engine.slots = 4;
    engine.role = role;
    engine.version = SoftwareVersion("v1");
    fleet.put(engine);
  }
  std::string choose(const std::string& key = "r1") const {
    const Backend* chosen =
        BackupChooser(fleet, loads, &gate).choose({fleet.find(BackendId("run")), key, &tried}, now);
    return chosen == nullptr ? "" : chosen->id.value();
  }
  StreamBackup begun() {
    StreamBackup backup(fleet, loads);
    backup.enable("r1", &gate);
    REQUIRE(backup.begin_run(*fleet.find(BackendId("run")), tried, now));
    return backup;
  }
};

}  // namespace

// Copies of short streams or of other requests would waste memory and bandwidth.
TEST_CASE("only long streams of engines that replicate are backed up") {
  const Route stream = GatewayFixture::make_route("/s", RequestKind::kStreaming, "llm", 1, false);
  const Route plain = GatewayFixture::make_route("/p", RequestKind::kIdempotent, "llm", 1, false);
  const EngineShape shape{.tokens_per_event = 75, .backs_up_streams = true};
  const EngineShape no_backups{.tokens_per_event = 75};
  const EngineShape no_event_size{.backs_up_streams = true};
  const Prompt long_prompt = parse_prompt("", "200,5000", "600");
  const Prompt short_prompt = parse_prompt("", "200,5000", "599");
  CHECK(wants_backup(stream, &shape, &long_prompt, "r1", true));
  CHECK_FALSE(wants_backup(stream, &shape, &short_prompt, "r1", true));
  Route resumable = stream;
  resumable.resumable = true;
  resumable.max_attempts = 2;
  CHECK(wants_backup(resumable, &shape, &long_prompt, "r1", true));
  CHECK_FALSE(wants_backup(resumable, &shape, &long_prompt, "r1", false));
  resumable.max_attempts = 1;
  CHECK(wants_backup(resumable, &shape, &long_prompt, "r1", false));
  CHECK_FALSE(wants_backup(stream, &shape, &long_prompt, "", true));
  CHECK_FALSE(wants_backup(stream, &shape, nullptr, "r1", true));
  CHECK_FALSE(wants_backup(stream, &no_backups, &long_prompt, "r1", true));
  CHECK_FALSE(wants_backup(stream, &no_event_size, &long_prompt, "r1", true));
  CHECK_FALSE(wants_backup(stream, nullptr, &long_prompt, "r1", true));
  CHECK_FALSE(wants_backup(plain, &shape, &long_prompt, "r1", true));
}

// A copy at an engine that terminates, refuses requests or only prefills could not be used when it
// is needed.
TEST_CASE_FIXTURE(BackupFixture,
                  "a copy goes to a healthy engine, if possible in the runner's zone") {
  add("run", "a");
  add("prefiller", "a", EngineRole::kPrefill);
  CHECK(choose().empty());
  add("far", "b");
  CHECK(choose() == "far");
  add("near", "a");
  CHECK(choose() == "near");
  SUBCASE("leaving") {
    fleet.note_leaving(BackendId("near"));
  }
  SUBCASE("ejected") {
    loads.find_or_create(BackendId("near")).note_unresponsive(now);
  }
  SUBCASE("replaced") {
    loads.find_or_create(BackendId("near")).end(AttemptOutcome::kReplaced, now);
  }
  SUBCASE("without room") {
    gate.full.insert(BackendId("near"));
  }
  SUBCASE("tried") {
    tried.insert(BackendId("near"));
  }
  CHECK(choose() == "far");
}

// Guards against one engine holding all copies and against loading a busy engine further.
TEST_CASE_FIXTURE(BackupFixture,
                  "copies are distributed over the less loaded half of the engines by request id") {
  add("run", "a");
  for (int i = 0; i != 8; ++i) {
    const std::string id = "e" + std::to_string(i);
    add(id, "a");
    if (i >= 4) {
      loads.begin(BackendId(id), 0);
    }
  }
  std::map<std::string, int> copies;
  for (int i = 0; i != 400; ++i) {
    ++copies[choose("r" + std::to_string(i))];
  }
  CHECK(choose("r1") == choose("r1"));
  CHECK(copies.size() == 4);
  for (const auto& [engine, count] : copies) {
    CHECK(engine < "e4");
    CHECK(count > 60);
  }
}

// Comparing thousands of engines for each stream would stall a small node.
TEST_CASE_FIXTURE(BackupFixture,
                  "in a large fleet an engine of the same zone is chosen from a sample") {
  add("run", "a");
  for (int i = 0; i != 2000; ++i) {
    add("e" + std::to_string(i), i % 4 == 0 ? "a" : "b");
  }
  for (int i = 0; i != 50; ++i) {
    const std::string key = "r" + std::to_string(i);
    REQUIRE_FALSE(choose(key).empty());
    CHECK(choose(key) == choose(key));
    CHECK(fleet.find(BackendId(choose(key)))->zone == ZoneName("a"));
  }
}

// Guards against running a stream at two engines at once and against resuming it at a wrong
// position.
TEST_CASE_FIXTURE(BackupFixture,
                  "the cause of a run's failure decides whether its copy may be used") {
  add("run", "a");
  add("copy", "a");
  StreamBackup backup = begun();
  using http::HttpErrc;
  CHECK(backup.obstacle({.error = HttpErrc::kReset}, now) == BackupObstacle::kNoEventReceived);
  backup.note_event({"id: 1\n\n", 1}, now);
  CHECK(backup.obstacle({.error = HttpErrc::kReset}, now) == BackupObstacle::kNone);
  CHECK(backup.obstacle({.error = HttpErrc::kTruncated}, now) == BackupObstacle::kNone);
  CHECK(backup.obstacle({.error = HttpErrc::kStaleConnection}, now) == BackupObstacle::kNone);
  CHECK(backup.obstacle({.error = HttpErrc::kStaleConnection, .retry_allowed = true}, now) ==
        BackupObstacle::kRetryPreferred);
  for (const HttpErrc error : {HttpErrc::kTimeout, HttpErrc::kCancelled, HttpErrc::kTooLarge}) {
    CHECK(backup.obstacle({.error = error}, now) == BackupObstacle::kRunnerMayBeRunning);
  }
  CHECK(backup.obstacle({.error = HttpErrc::kTimeout, .runner_missing = true}, now) ==
        BackupObstacle::kNone);
  CHECK(backup.obstacle({.has_time = false}, now) == BackupObstacle::kNoTime);
  backup.note_event({": still here\n\n", std::nullopt}, now);
  CHECK(backup.obstacle({}, now) == BackupObstacle::kNone);
  backup.note_event({"event: x\ndata: y\n\n", std::nullopt}, now);
  CHECK(backup.obstacle({}, now) == BackupObstacle::kUnknownPosition);
}

// Guards against resuming at another engine that has taken over the address, and against endless
// resumes.
TEST_CASE_FIXTURE(BackupFixture, "a copy is not used twice, nor if its engine was replaced") {
  add("run", "a");
  add("copy", "a");
  StreamBackup backup = begun();
  CHECK(backup.run_reference().runner == Endpoint("run:1"));
  backup.note_event({"id: 1\n\n", 1}, now);
  loads.find_or_create(BackendId("copy")).end(AttemptOutcome::kReplaced, now);
  CHECK(backup.obstacle({}, now) == BackupObstacle::kNotRegistered);
  backup.mark_used();
  CHECK(backup.obstacle({}, now) == BackupObstacle::kAlreadyUsed);
  CHECK_FALSE(backup.begin_run(*fleet.find(BackendId("run")), tried, now));
  CHECK(backup.obstacle({}, now) == BackupObstacle::kNoBackup);
}
