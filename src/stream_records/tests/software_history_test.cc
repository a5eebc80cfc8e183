#include "stream_records/software_history.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::stream_records;
using namespace std::chrono_literals;

namespace {

const ServiceName kService("llm");

/// One node; its view is current until the test stops renewing it.
struct HistoryNode {
  explicit HistoryNode(simulation::VirtualTime& virtual_time) : time(virtual_time) {
    fleet.on_removed([this](const gateway::Backend& backend) { history.note_removed(backend); });
  }
  void put(const std::string& id, const std::string& version,
           gateway::EngineRole role = gateway::EngineRole::kDecode) {
    gateway::Backend backend;
    backend.id = gateway::BackendId(id);
    backend.service = kService;
    backend.role = role;
    backend.version = gateway::SoftwareVersion(version);
    fleet.put(backend);
  }
  void remove(const std::string& id) { fleet.remove(gateway::BackendId(id)); }
  void renew() {
    fleet.note_current(time.now());
    history.note_view_current();
  }
  bool is_sole(Duration span) const { return history.sole_software(kService, span).has_value(); }

  simulation::VirtualTime& time;
  gateway::FleetState fleet;
  SoftwareHistory history{time, fleet};
};

struct HistoryFixture {
  void advance(Duration span) {
    time.run_until(time.now() + span);
    node.renew();
  }

  simulation::VirtualTime time;
  HistoryNode node{time};
};

}  // namespace

TEST_CASE_FIXTURE(HistoryFixture,
                  "a service has one software once it has been known for the span") {
  node.put("i-1", "v1");
  node.put("i-2", "v1");
  CHECK_FALSE(node.is_sole(10s));
  node.renew();
  CHECK_FALSE(node.is_sole(10s));
  advance(10s);
  CHECK(node.history.sole_software(kService, 10s) ==
        software_of(*node.fleet.find(gateway::BackendId("i-1"))));
  CHECK_FALSE(node.history.sole_software(ServiceName("other"), 10s));
}

TEST_CASE_FIXTURE(HistoryFixture, "two versions are known until the span after one has left") {
  node.put("i-1", "v1");
  node.renew();
  advance(60s);
  node.put("i-2", "v1.1");
  CHECK_FALSE(node.is_sole(10s));
  node.remove("i-1");
  advance(9s);
  CHECK_FALSE(node.is_sole(10s));
  advance(1s);
  CHECK(node.is_sole(10s));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "a version that came and went counts, a prefill engine does not") {
  node.put("i-1", "v1");
  node.put("p-1", "v1.1", gateway::EngineRole::kPrefill);
  node.renew();
  advance(60s);
  CHECK(node.is_sole(10s));
  node.remove("p-1");
  CHECK(node.is_sole(10s));
  node.put("i-2", "v1.1");
  node.remove("i-2");
  CHECK_FALSE(node.is_sole(10s));
}

TEST_CASE_FIXTURE(HistoryFixture, "back ends of unknown version are of one software each") {
  node.put("i-1", "");
  node.renew();
  advance(10s);
  CHECK(node.is_sole(10s));
  node.put("i-2", "");
  CHECK_FALSE(node.is_sole(10s));
}

TEST_CASE_FIXTURE(HistoryFixture, "a view that is out of date shows nothing") {
  node.put("i-1", "v1");
  node.renew();
  advance(60s);
  time.run_until(time.now() + SoftwareHistory::kMaxViewAge + 1ms);
  CHECK_FALSE(node.is_sole(10s));
  CHECK_FALSE(node.history.report());
  node.renew();
  CHECK(node.is_sole(10s));
}

TEST_CASE_FIXTURE(HistoryFixture, "a starting node learns from another one what it has not seen") {
  node.put("i-1", "v1");
  node.put("i-2", "v1.1");
  node.renew();
  advance(60s);
  node.remove("i-2");
  advance(5s);
  HistoryNode started(time);
  started.put("i-1", "v1");
  started.renew();
  started.history.receive(node.history.report().value());
  CHECK_FALSE(started.is_sole(10s));
  CHECK(started.is_sole(5s));
  advance(5s);
  started.renew();
  CHECK(started.is_sole(10s));
  // A node that knows less takes nothing away.
  HistoryNode younger(time);
  younger.put("i-1", "v1");
  younger.renew();
  started.history.receive(younger.history.report().value());
  CHECK(started.is_sole(10s));
}
