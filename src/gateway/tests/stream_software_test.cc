// Tests of streams beside back ends of several software versions: what one version has begun, no
// other version continues.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include "tests/fake_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::FakeCaller;
using gateway::testing::FakeGate;
using gateway::testing::GatewayFixture;
using http::HttpErrc;

namespace {

struct VersionsFixture : GatewayFixture {
  void add(const std::string& id, const std::string& version) {
    add_backend(id, "llm", EngineRole::kDecode, false, version);
  }
  /// Begins a stream at the only engine so far, which then breaks it off behind its first event.
  std::shared_ptr<FakeCaller> begin_and_break(const std::function<void()>& before_break) {
    const auto caller = send("/resumable/x");
    last().observer->on_head({200, {signature()}});
    last().observer->on_body("id: 1\ndata: a\n\n");
    before_break();
    last().fail(HttpErrc::kReset, true);
    return caller;
  }
};

}  // namespace

TEST_CASE_FIXTURE(VersionsFixture, "a broken stream is not continued by another software version") {
  add("e1", "v1");
  const auto caller = begin_and_break([&] { add("e2", "v1.1"); });
  CHECK(sends() == 1);
  CHECK(caller->aborted);
  CHECK(caller->body == "id: 1\ndata: a\n\n");
  // A retry that cannot be sent is not charged.
  CHECK(statistics.retries == 0);
}

TEST_CASE_FIXTURE(VersionsFixture, "a broken stream is continued by the same software version") {
  add("e1", "v1");
  const auto caller = begin_and_break([&] {
    add("e2", "v1.1");
    add("e3", "v1");
    add("e4", "v1.1");
  });
  REQUIRE(sends() == 2);
  CHECK(last().request.endpoint == Endpoint("e3:1"));
  last().answer(200, {signature()}, "id: 2\ndata: b\n\n");
  CHECK(caller->finished);
}

TEST_CASE_FIXTURE(VersionsFixture,
                  "a stream keeps the version of its first event when its back end is gone") {
  add("e1", "v1");
  begin_and_break([&] {
    fleet.remove(BackendId("e1"));
    add("e1", "v1.1");
    add("e2", "v1.1");
  });
  CHECK(sends() == 1);
}

TEST_CASE_FIXTURE(VersionsFixture, "a stream without an event is sent to any software version") {
  add("e1", "v1");
  send("/resumable/x");
  add("e2", "v1.1");
  last().fail(HttpErrc::kReset, true);
  CHECK(sends() == 2);
}

TEST_CASE_FIXTURE(VersionsFixture, "back ends of unknown version do not continue each other") {
  add("e1", "");
  begin_and_break([&] { add("e2", ""); });
  CHECK(sends() == 1);
}

TEST_CASE_FIXTURE(VersionsFixture,
                  "a claim that is granted late does not move a stream to another version") {
  FakeGate gate;
  Gateway gated{environment_with(nullptr, &gate), [](auto done) { done(true); }};
  add("e1", "v1");
  auto caller = std::make_shared<FakeCaller>();
  gated.handle({"POST", "/resumable/x", "", {{"host", "h"}, {"x-request-id", "r1"}}, "body", {}},
               caller);
  last().observer->on_head({200, {signature()}});
  last().observer->on_body("id: 1\ndata: a\n\n");
  add("e2", "v1");
  gate.claims_pending = true;
  last().fail(HttpErrc::kReset, true);
  add("e2", "v1.1");
  gate.settle(true);
  CHECK(sends() == 1);
  CHECK(caller->aborted);
}

TEST_CASE("software is identified by service and version, or by the back end if that is unknown") {
  Backend first;
  first.id = BackendId("i-1");
  first.service = ServiceName("llm");
  first.version = SoftwareVersion("v1");
  Backend second = first;
  second.id = BackendId("i-2");
  const auto same = [&] {
    CHECK(run_same_software(first, second) == (software_of(first) == software_of(second)));
    return run_same_software(first, second);
  };
  CHECK(same());
  second.version = SoftwareVersion("v1.1");
  CHECK_FALSE(same());
  second.version = first.version;
  second.service = ServiceName("other");
  CHECK_FALSE(same());
  second.service = first.service;
  first.version = second.version = SoftwareVersion();
  CHECK_FALSE(same());
  second.id = first.id;
  CHECK(same());
}
