// Which engine backs up a stream, and whether a broken stream may continue there.
#include "gateway/stream_backup.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>

#include "tests/played_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatewayFixture;
using ochrespring::gateway::testing::PlayedGate;

namespace {

struct BackupFixture {
  FleetState fleet;
  LoadTable loads;
  PlayedGate gate;
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

// Copies of short streams, or of other requests, would take memory and bandwidth for nothing.
TEST_CASE("only long streams of engines that replicate want a backup") {
  const Route stream = GatewayFixture::make_route("/s", RequestKind::kStreaming, "llm", 1, false);
  const Route plain = GatewayFixture::make_route("/p", RequestKind::kIdempotent, "llm", 1, false);
  const EngineShape shape{.tokens_per_event = 75, .backs_up_streams = true};
  const EngineShape silent{.tokens_per_event = 75};
  const EngineShape unknown{.backs_up_streams = true};
  const Prompt lengthy = parse_prompt("", "200,5000", "600");
  const Prompt brief = parse_prompt("", "200,5000", "599");
  CHECK(wants_backup(stream, &shape, &lengthy, "r1", true));
  CHECK_FALSE(wants_backup(stream, &shape, &brief, "r1", true));
  Route resumable = stream;
  resumable.resumable = true;
  resumable.max_attempts = 2;
  CHECK(wants_backup(resumable, &shape, &lengthy, "r1", true));
  CHECK_FALSE(wants_backup(resumable, &shape, &lengthy, "r1", false));
  resumable.max_attempts = 1;
  CHECK(wants_backup(resumable, &shape, &lengthy, "r1", false));
  CHECK_FALSE(wants_backup(stream, &shape, &lengthy, "", true));
  CHECK_FALSE(wants_backup(stream, &shape, nullptr, "r1", true));
  CHECK_FALSE(wants_backup(stream, &silent, &lengthy, "r1", true));
  CHECK_FALSE(wants_backup(stream, &unknown, &lengthy, "r1", true));
  CHECK_FALSE(wants_backup(stream, nullptr, &lengthy, "r1", true));
  CHECK_FALSE(wants_backup(plain, &shape, &lengthy, "r1", true));
}

// A copy at an engine that ends, refuses or reads prompts only would be lost when it is needed.
TEST_CASE_FIXTURE(BackupFixture,
                  "a copy goes to a healthy engine, in the runner's zone if it can") {
  add("run", "a");
  add("reader", "a", EngineRole::kPrefill);
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

// One engine would hold all copies, or a busy one be loaded further.
TEST_CASE_FIXTURE(BackupFixture,
                  "copies spread over the less loaded half, as a request's id says") {
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

// A walk over thousands of engines for each stream would stall a small node.
TEST_CASE_FIXTURE(BackupFixture, "of a large fleet an engine of the zone is found from a sample") {
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

// The same stream would run at two engines at once, or a stream go on in the wrong place.
TEST_CASE_FIXTURE(BackupFixture, "what ended a run decides whether its copy may be used") {
  add("run", "a");
  add("copy", "a");
  StreamBackup backup = begun();
  using http::HttpErrc;
  CHECK(backup.obstacle({.error = HttpErrc::kReset}, now) == BackupObstacle::kNotBegun);
  backup.note_event({"id: 1\n\n", 1});
  CHECK(backup.obstacle({.error = HttpErrc::kReset}, now) == BackupObstacle::kNone);
  CHECK(backup.obstacle({.error = HttpErrc::kTruncated}, now) == BackupObstacle::kNone);
  CHECK(backup.obstacle({.error = HttpErrc::kStaleConnection}, now) == BackupObstacle::kNone);
  CHECK(backup.obstacle({.error = HttpErrc::kStaleConnection, .repeatable = true}, now) ==
        BackupObstacle::kUnsent);
  for (const HttpErrc error : {HttpErrc::kTimeout, HttpErrc::kCancelled, HttpErrc::kTooLarge}) {
    CHECK(backup.obstacle({.error = error}, now) == BackupObstacle::kRunnerMayWork);
  }
  CHECK(backup.obstacle({.error = HttpErrc::kTimeout, .runner_gone = true}, now) ==
        BackupObstacle::kNone);
  CHECK(backup.obstacle({.has_time = false}, now) == BackupObstacle::kNoTime);
  backup.note_event({": still here\n\n", std::nullopt});
  CHECK(backup.obstacle({}, now) == BackupObstacle::kNone);
  backup.note_event({"event: x\ndata: y\n\n", std::nullopt});
  CHECK(backup.obstacle({}, now) == BackupObstacle::kUnknownPosition);
}

// The address of the backup may be another engine's, or one break be followed by another for ever.
TEST_CASE_FIXTURE(BackupFixture, "a copy is not used where its engine was replaced, or twice") {
  add("run", "a");
  add("copy", "a");
  StreamBackup backup = begun();
  CHECK(backup.source().runner == Endpoint("run:1"));
  backup.note_event({"id: 1\n\n", 1});
  loads.find_or_create(BackendId("copy")).end(AttemptOutcome::kReplaced, now);
  CHECK(backup.obstacle({}, now) == BackupObstacle::kGone);
  backup.note_used();
  CHECK(backup.obstacle({}, now) == BackupObstacle::kUsed);
  CHECK_FALSE(backup.begin_run(*fleet.find(BackendId("run")), tried, now));
  CHECK(backup.obstacle({}, now) == BackupObstacle::kNoBackup);
}
