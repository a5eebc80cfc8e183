// One node's knowledge of what back ends have said, and what it tells and is told of it.
#include "admission/admission_control.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "discovery/node_directory.h"
#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::admission;
using namespace std::chrono_literals;

namespace {

using Kind = gateway::BackoffStatement::Kind;

struct AdmissionFixture {
  simulation::VirtualTime time;
  SeededRandom random{7};
  logging::NullLogger logger;
  gateway::FleetState fleet;
  gateway::LoadTable loads;
  discovery::NodeDirectory nodes{time,
                                 {NodeId("n1"), Endpoint("f"), ZoneName("a"), Endpoint("p"), 200}};
  rate_limit::RateLimiter limiter{{time, time, random, logger, fleet, nodes},
                                  {.tell_all = [](const auto&) {},
                                   .tell = [](const auto&, const auto&) {},
                                   .ask = [](const auto&, const auto&) {},
                                   .reply = [](const auto&, const auto&) {}}};
  std::vector<BackendNotice> told;
  AdmissionControl admission{{time, random, logger, fleet, loads, limiter},
                             [this](const BackendNotice& notice) { told.push_back(notice); }};

  AdmissionFixture() {
    time.run_until(time.now() + 100s);
    for (const char* id : {"a@1", "b@1"}) {
      register_backend(id);
    }
    fleet.on_added([this](const gateway::Backend& backend) { admission.note_known(backend.id); });
    fleet.on_removed([this](const gateway::Backend& backend) {
      loads.forget(backend.id);
      limiter.forget(backend.id);
    });
  }
  void register_backend(const std::string& id) {
    gateway::Backend backend;
    backend.id = gateway::BackendId(id);
    backend.service = ServiceName("relay");
    backend.address = Endpoint(id + ":1");
    fleet.put(backend);
  }
  void hear_backoff(const char* id, Duration span) {
    gateway::BackendStatement statement;
    statement.backoff = {.kind = Kind::kRequested, .span = span, .text = {}};
    statement.not_run = true;
    admission.note_answer({gateway::BackendId(id), time.now(), statement});
  }
  void hear_leaving(const char* id) {
    gateway::BackendStatement statement;
    statement.leaving = true;
    admission.note_answer({gateway::BackendId(id), time.now(), statement});
  }
  bool has_room(const char* id) const {
    return admission.has_room(gateway::BackendId(id), time.now());
  }
  void advance(Duration span) { time.run_until(time.now() + span); }
};

}  // namespace

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a pause outlives the registration, and another life begins anew") {
  hear_backoff("a@1", 6s);
  advance(4s);
  fleet.remove(gateway::BackendId("a@1"));
  register_backend("a@1");
  register_backend("a@2");
  CHECK_FALSE(has_room("a@1"));
  CHECK(has_room("a@2"));
  advance(2s);
  CHECK(has_room("a@1"));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a pause that a new life asks for before it is registered binds what it gets "
                  "under its own id") {
  hear_backoff("a@1", 60s);
  advance(300ms);
  fleet.remove(gateway::BackendId("a@1"));
  register_backend("a@2");
  CHECK_FALSE(has_room("a@2"));
  advance(10s);
  CHECK(has_room("a@2"));
  hear_backoff("b@1", 2s);
  register_backend("b@2");
  register_backend("c@1");
  CHECK_FALSE(has_room("b@2"));
  CHECK(has_room("c@1"));
  advance(2s);
  CHECK(has_room("b@2"));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "leaving outlives the registration, whatever the store says after it") {
  hear_leaving("a@1");
  fleet.remove(gateway::BackendId("a@1"));
  register_backend("a@1");
  register_backend("a@2");
  CHECK(fleet.is_leaving(gateway::BackendId("a@1")));
  CHECK_FALSE(admission.may_send(gateway::BackendId("a@1"), time.now()));
  CHECK(admission.may_send(gateway::BackendId("a@2"), time.now()));
}

TEST_CASE_FIXTURE(AdmissionFixture, "others are told once of a pause, and once of leaving") {
  hear_backoff("a@1", 3s);
  hear_backoff("a@1", 2s);
  hear_leaving("b@1");
  hear_leaving("b@1");
  REQUIRE(told.size() == 2);
  CHECK(told[0].backoff == 3s);
  CHECK(told[1].leaving);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a pause that another node was asked for makes a back end a worse choice, and "
                  "does not close it") {
  admission.take({gateway::BackendId("a@1"), false, 3s});
  CHECK(has_room("a@1"));
  const gateway::BackendLoad* load = loads.find(gateway::BackendId("a@1"));
  REQUIRE(load != nullptr);
  CHECK(load->refusal_share(time.now()) >= 0.5);
  CHECK(load->refusal_share(time.now() + 3s) == 0);
  hear_backoff("a@1", 2s);
  CHECK(told.empty());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "whatever pause another node tells of, it is believed for a while") {
  for (const Duration told_pause : {Duration(-1s), Duration::max(), Duration::min()}) {
    admission.take({gateway::BackendId("a@1"), false, told_pause});
    CHECK(loads.find_or_create(gateway::BackendId("a@1")).refusal_share(time.now() + 61s) == 0);
  }
}

TEST_CASE_FIXTURE(AdmissionFixture, "leaving that another node tells of binds this one") {
  admission.take({gateway::BackendId("a@1"), true, {}});
  CHECK(fleet.is_leaving(gateway::BackendId("a@1")));
  hear_leaving("a@1");
  CHECK(told.empty());
}

TEST_CASE_FIXTURE(AdmissionFixture, "a node that has started is told what is in force") {
  hear_backoff("a@1", 3s);
  hear_leaving("b@1");
  advance(1s);
  std::vector<BackendNotice> sent;
  admission.tell_all([&](const BackendNotice& notice) { sent.push_back(notice); });
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].leaving);
  CHECK(sent[1].backoff == 2s);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a forecast is the first moment at which neither a pause nor a limit is in the "
                  "way, and a little later") {
  CHECK_FALSE(admission.forecast(ServiceName("relay"), time.now()));
  hear_backoff("a@1", 4s);
  hear_backoff("b@1", 2s);
  for (int i = 0; i != 20; ++i) {
    const auto room = admission.forecast(ServiceName("relay"), time.now());
    REQUIRE(room);
    CHECK(room->backing_off);
    CHECK(room->wait >= 2s);
    CHECK(room->wait <= 2500ms);
  }
  CHECK_FALSE(admission.forecast(ServiceName("other"), time.now()));
}

TEST_CASE_FIXTURE(AdmissionFixture, "what cannot be read closes nothing") {
  gateway::BackendStatement statement;
  statement.backoff = {.kind = Kind::kMalformed, .span = {}, .text = "soon"};
  statement.leaving_malformed = true;
  admission.note_answer({gateway::BackendId("a@1"), time.now(), statement});
  CHECK(has_room("a@1"));
  CHECK_FALSE(fleet.is_leaving(gateway::BackendId("a@1")));
  CHECK(admission.statistics().backoffs_unreadable == 1);
}

// In a large release each node that started was sent a notice for every server that drained.
TEST_CASE("a node that starts is not told of what the store itself shows") {
  AdmissionFixture world;
  world.hear_leaving("a@1");
  gateway::Backend draining = *world.fleet.find(gateway::BackendId("b@1"));
  draining.draining = true;
  world.fleet.put(draining);
  std::vector<BackendNotice> sent;
  world.admission.tell_all([&](const BackendNotice& notice) { sent.push_back(notice); });
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].backend.value() == "a@1");
}
