// Tests how a node handles the announcements of back ends, and which notices it sends and receives.
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
                                  {.broadcast = [](const auto&) {},
                                   .send = [](const auto&, const auto&) {},
                                   .send_request = [](const auto&, const auto&) {},
                                   .send_reply = [](const auto&, const auto&) {}}};
  std::vector<BackendNotice> broadcast;
  AdmissionControl admission{{time, random, logger, fleet, loads, limiter},
                             [this](const BackendNotice& notice) { broadcast.push_back(notice); }};

  AdmissionFixture() {
    time.run_until(time.now() + 100s);
    for (const char* id : {"a@1", "b@1"}) {
      register_backend(id);
    }
    fleet.on_added(
        [this](const gateway::Backend& backend) { admission.note_backend_added(backend.id); });
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
  void receive_backoff(const char* id, Duration span) {
    gateway::BackendStatement statement;
    statement.backoff = {.kind = Kind::kRequested, .span = span, .text = {}};
    statement.not_run = true;
    admission.note_answer({gateway::BackendId(id), time.now(), statement});
  }
  void receive_departure(const char* id) {
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

TEST_CASE_FIXTURE(
    AdmissionFixture,
    "a backoff outlives the registration, and does not apply to another incarnation") {
  receive_backoff("a@1", 6s);
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
                  "an incarnation inherits a backoff that was asked for shortly before it "
                  "registered") {
  receive_backoff("a@1", 60s);
  advance(300ms);
  fleet.remove(gateway::BackendId("a@1"));
  register_backend("a@2");
  CHECK_FALSE(has_room("a@2"));
  advance(10s);
  CHECK(has_room("a@2"));
  receive_backoff("b@1", 2s);
  register_backend("b@2");
  register_backend("c@1");
  CHECK_FALSE(has_room("b@2"));
  CHECK(has_room("c@1"));
  advance(2s);
  CHECK(has_room("b@2"));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "leaving outlives the registration, even if the store shows otherwise later") {
  receive_departure("a@1");
  fleet.remove(gateway::BackendId("a@1"));
  register_backend("a@1");
  register_backend("a@2");
  CHECK(fleet.is_leaving(gateway::BackendId("a@1")));
  CHECK_FALSE(admission.may_send(gateway::BackendId("a@1"), time.now()));
  CHECK(admission.may_send(gateway::BackendId("a@2"), time.now()));
}

TEST_CASE_FIXTURE(AdmissionFixture, "a backoff and leaving are each broadcast once") {
  receive_backoff("a@1", 3s);
  receive_backoff("a@1", 2s);
  receive_departure("b@1");
  receive_departure("b@1");
  REQUIRE(broadcast.size() == 2);
  CHECK(broadcast[0].backoff == 3s);
  CHECK(broadcast[1].leaving);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a backoff reported by another node makes a back end less preferred but does "
                  "not exclude it") {
  admission.receive({gateway::BackendId("a@1"), false, 3s});
  CHECK(has_room("a@1"));
  const gateway::BackendLoad* load = loads.find(gateway::BackendId("a@1"));
  REQUIRE(load != nullptr);
  CHECK(load->refusal_share(time.now()) >= 0.5);
  CHECK(load->refusal_share(time.now() + 3s) == 0);
  receive_backoff("a@1", 2s);
  CHECK(broadcast.empty());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a backoff reported by another node expires, whatever its length") {
  for (const Duration reported_backoff : {Duration(-1s), Duration::max(), Duration::min()}) {
    admission.receive({gateway::BackendId("a@1"), false, reported_backoff});
    CHECK(loads.find_or_create(gateway::BackendId("a@1")).refusal_share(time.now() + 61s) == 0);
  }
}

TEST_CASE_FIXTURE(AdmissionFixture, "leaving that another node reports applies to this node") {
  admission.receive({gateway::BackendId("a@1"), true, {}});
  CHECK(fleet.is_leaving(gateway::BackendId("a@1")));
  receive_departure("a@1");
  CHECK(broadcast.empty());
}

TEST_CASE_FIXTURE(AdmissionFixture, "a node that has started is sent the notices in force") {
  receive_backoff("a@1", 3s);
  receive_departure("b@1");
  advance(1s);
  std::vector<BackendNotice> sent;
  admission.send_all([&](const BackendNotice& notice) { sent.push_back(notice); });
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].leaving);
  CHECK(sent[1].backoff == 2s);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a forecast is the earliest end of a backoff or rate limit, plus jitter") {
  CHECK_FALSE(admission.forecast(ServiceName("relay"), time.now()));
  receive_backoff("a@1", 4s);
  receive_backoff("b@1", 2s);
  for (int i = 0; i != 20; ++i) {
    const auto room = admission.forecast(ServiceName("relay"), time.now());
    REQUIRE(room);
    CHECK(room->backing_off);
    CHECK(room->wait >= 2s);
    CHECK(room->wait <= 2500ms);
  }
  CHECK_FALSE(admission.forecast(ServiceName("other"), time.now()));
}

TEST_CASE_FIXTURE(AdmissionFixture, "announcements that cannot be parsed have no effect") {
  gateway::BackendStatement statement;
  statement.backoff = {.kind = Kind::kMalformed, .span = {}, .text = "soon"};
  statement.leaving_malformed = true;
  admission.note_answer({gateway::BackendId("a@1"), time.now(), statement});
  CHECK(has_room("a@1"));
  CHECK_FALSE(fleet.is_leaving(gateway::BackendId("a@1")));
  CHECK(admission.statistics().backoffs_unreadable == 1);
}

// Guards against sending a notice for every draining back end to each node that starts during a
// large release.
TEST_CASE("a node that starts is not sent notices of back ends that the store shows as draining") {
  AdmissionFixture fixture;
  fixture.receive_departure("a@1");
  gateway::Backend draining = *fixture.fleet.find(gateway::BackendId("b@1"));
  draining.draining = true;
  fixture.fleet.put(draining);
  std::vector<BackendNotice> sent;
  fixture.admission.send_all([&](const BackendNotice& notice) { sent.push_back(notice); });
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].backend.value() == "a@1");
}
