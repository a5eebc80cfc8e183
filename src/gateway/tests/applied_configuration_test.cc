// Tests that applying a configuration ends no request that is under way, whatever it changes.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/fake_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::FakeCaller;
using gateway::testing::FakeGate;
using gateway::testing::GatewayFixture;

namespace {

struct ConfigurationFixture : GatewayFixture {
  FakeGate gate;
  Gateway gateway_under_test{environment_with(nullptr, &gate), [](auto done) { done(true); }};

  ConfigurationFixture() {
    for (const char* id : {"e1", "e2"}) {
      add_backend(id, "llm", EngineRole::kDecode);
    }
    add_backend("m1", "moved", EngineRole::kDecode);
  }
  std::shared_ptr<FakeCaller> ask() {
    auto caller = std::make_shared<FakeCaller>();
    gateway_under_test.handle(
        {"POST", "/resumable/x", "", {{"host", "h"}, {"x-request-id", "r1"}}, "body"}, caller);
    return caller;
  }
  std::shared_ptr<testing::FakeExchange> attempt(std::size_t index) {
    return transport.started.at(index);
  }
};

/// Something that a configuration can change.
struct Change {
  std::string name;
  void (*apply)(Configuration& configuration, Route& route);
};

const Change kChanges[] = {
    {"nothing", [](Configuration&, Route&) {}},
    {"route removed", [](Configuration&, Route& route) { route.host = "other"; }},
    {"path changed", [](Configuration&, Route& route) { route.path_prefix = "/other/"; }},
    {"all routes removed", [](Configuration& configuration, Route&) { configuration.routes = {}; }},
    {"moved to another service",
     [](Configuration& configuration, Route& route) {
       route.shares = {{ServiceName("moved"), 1}};
       configuration.services.push_back({ServiceName("moved"), 100, EngineShape{}});
     }},
    {"split", [](Configuration&, Route& route) { route.shares.push_back({ServiceName("relay")}); }},
    {"weight of zero", [](Configuration&, Route& route) { route.shares.front().weight = 0; }},
    {"no service", [](Configuration&, Route& route) { route.shares.clear(); }},
    {"timeout shortened", [](Configuration&, Route& route) { route.timeout = 50ms; }},
    {"target latency shortened", [](Configuration&, Route& route) { route.target_latency = 1ms; }},
    {"target gap shortened", [](Configuration&, Route& route) { route.target_gap = 1ms; }},
    {"fewer attempts", [](Configuration&, Route& route) { route.max_attempts = 1; }},
    {"not resumable", [](Configuration&, Route& route) { route.resumable = false; }},
    {"another kind",
     [](Configuration&, Route& route) { route.kind = RequestKind::kNonIdempotent; }},
    {"priority", [](Configuration&, Route& route) { route.priority = 9; }},
    {"services removed",
     [](Configuration& configuration, Route&) { configuration.services.clear(); }},
    {"service without engines",
     [](Configuration& configuration, Route&) { configuration.services[1].engine.reset(); }},
    {"fewer connections",
     [](Configuration& configuration, Route&) { configuration.services[1].max_connections = 0; }},
    {"keys required",
     [](Configuration& configuration, Route&) {
       configuration.tenants = {{.name = TenantName("t"), .priority = {}, .keys = {}}};
     }},
    {"limits lowered",
     [](Configuration& configuration, Route&) {
       configuration.limits = {.max_body_bytes = 1, .idle_timeout = 1ms};
     }},
};

/// How far a stream has come when the configuration is applied. Returns which exchange completes
/// it.
struct Progress {
  std::string name;
  std::size_t (*advance)(ConfigurationFixture& f);
  std::uint64_t events;
};

void begin_events(ConfigurationFixture& f) {
  f.attempt(0)->observer->on_head({200, {f.signature()}});
  f.attempt(0)->observer->on_body("id: 1\ndata: a\n\n");
}

const Progress kProgress[] = {
    {"sent", [](ConfigurationFixture&) { return std::size_t{0}; }, 0},
    {"head received",
     [](ConfigurationFixture& f) {
       f.attempt(0)->observer->on_head({200, {f.signature()}});
       return std::size_t{0};
     },
     0},
    {"event received",
     [](ConfigurationFixture& f) {
       begin_events(f);
       return std::size_t{0};
     },
     1},
    {"silent, another back end tried",
     [](ConfigurationFixture& f) {
       begin_events(f);
       f.advance(900ms);
       REQUIRE(f.sends() == 2);
       return std::size_t{0};
     },
     1},
    {"silent, a claim pending",
     [](ConfigurationFixture& f) {
       begin_events(f);
       f.gate.claims_pending = true;
       f.advance(900ms);
       REQUIRE(f.gate.claims.size() == 1);
       return std::size_t{0};
     },
     1},
    {"retried after its back end broke off",
     [](ConfigurationFixture& f) {
       begin_events(f);
       f.attempt(0)->fail(http::HttpErrc::kReset, true);
       REQUIRE(f.sends() == 2);
       return std::size_t{1};
     },
     1},
};

}  // namespace

TEST_CASE("a configuration ends no stream that is under way") {
  for (const Progress& progress : kProgress) {
    for (const Change& change : kChanges) {
      CAPTURE(progress.name);
      CAPTURE(change.name);
      ConfigurationFixture f;
      const auto caller = f.ask();
      const std::size_t completing = progress.advance(f);

      Configuration next = GatewayFixture::make_configuration(2);
      for (Route& route : next.routes) {
        if (route.path_prefix == "/resumable/") {
          change.apply(next, route);
          break;
        }
      }
      f.fleet.apply(std::move(next));
      f.advance(250ms);
      REQUIRE_FALSE(caller->ended());
      REQUIRE(f.attempt(completing)->open);

      http::ResponseObserver& observer = *f.attempt(completing)->observer;
      if (progress.events == 0 || completing == 1) {
        observer.on_head({200, {f.signature()}});
      }
      const std::string first = "id: 1\ndata: a\n\n";
      const std::string second = "id: 2\ndata: b\n\n";
      observer.on_body(progress.events == 0 ? first + second : second);
      REQUIRE(f.attempt(completing)->open);
      observer.on_complete();
      CHECK(caller->finished);
      CHECK(caller->body == first + second);
    }
  }
}
