// Tests for caller authentication: keys, tenants, and configuration changes.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <string>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatewayFixture;

namespace {

struct KeyedFixture : GatewayFixture {
  KeyedFixture() {
    names.reserved = {names.tenant};
    add_backend("b1", "relay");
    apply(2, {{"k1", "t1"}});
  }

  /// Applies a configuration with these keys; the route `/open/` needs none.
  void apply(std::uint64_t version, const std::map<std::string, std::string>& keys) {
    Configuration configuration = make_configuration(version);
    Route open = make_route("/open/", RequestKind::kIdempotent, "relay", 1, false);
    open.anonymous = true;
    configuration.routes.push_back(open);
    // A tenant without keys, so that the configuration always requires keys.
    configuration.tenants.push_back({.name = TenantName("nobody"), .priority = {}, .keys = {}});
    for (const auto& [key, tenant] : keys) {
      configuration.tenants.push_back(
          {.name = TenantName(tenant), .priority = {}, .keys = {digest_key(key)}});
    }
    fleet.apply(std::move(configuration));
  }

  /// Returns an environment that counts the runs of each tenant.
  Environment counting_into(std::map<std::string, int>& runs) {
    Environment result = environment();
    result.note_run = [&runs](const TenantName& tenant, Duration) { ++runs[tenant.value()]; };
    return result;
  }

  auto send_with_key(const std::string& path, const std::string& authorization) {
    return send(path, {{"authorization", authorization}, {names.tenant, "forged"}});
  }
};

/// Counts the runs of each tenant.
struct CountingFixture : KeyedFixture {
  std::map<std::string, int> runs;
  Gateway counting{counting_into(runs), [](auto done) { done(true); }};

  /// Sends a request with the key of tenant `t1`.
  std::shared_ptr<testing::FakeCaller> ask(const std::string& path) {
    auto caller = std::make_shared<testing::FakeCaller>();
    counting.handle({"POST", path, "", {{"host", "h"}, {"authorization", "Token k1"}}, ""}, caller);
    return caller;
  }
};

}  // namespace

TEST_CASE("a request with a known key runs for its tenant, and the key is not forwarded") {
  KeyedFixture fixture;
  fixture.send_with_key("/once/x", "Token k1");
  REQUIRE(fixture.sends() == 1);
  CHECK(fixture.last().header(fixture.names.tenant) == "t1");
  CHECK(fixture.last().header("authorization").empty());
  fixture.send_with_key("/once/x", "token  k1 ");
  CHECK(fixture.sends() == 2);
}

// Usage reports would miss the runs of callers that leave or whose deadline passes first.
TEST_CASE(
    "a request that was sent counts for its tenant when its caller leaves or its time is up") {
  for (const bool sent : {true, false}) {
    for (const bool leaves : {true, false}) {
      CountingFixture fixture;
      const auto caller = fixture.ask("/once/x");
      REQUIRE(fixture.sends() == 1);
      fixture.last().request_sent = sent;
      if (leaves) {
        caller->disconnect();
      } else {
        fixture.advance(std::chrono::seconds(3));
      }
      CHECK(fixture.counting.running() == 0);
      CHECK(fixture.runs["t1"] == (sent ? 1 : 0));
    }
  }
}

TEST_CASE("a request whose signed response breaks off is counted once for its tenant") {
  CountingFixture fixture;
  fixture.add_backend("b2", "relay");
  const auto caller = fixture.ask("/idempotent/x");
  fixture.last().observer->on_head({200, {fixture.signature()}});
  fixture.last().fail(http::HttpErrc::kTruncated, true);
  CHECK(fixture.runs["t1"] == 1);
  fixture.last().answer(200, {fixture.signature()}, "ok");
  CHECK(caller->head.status == 200);
  CHECK(fixture.runs["t1"] == 1);
}

TEST_CASE(
    "a request is counted as run if the server closes the connection before its response, but not "
    "if it may not have received the request") {
  struct Row {
    http::HttpErrc code;
    int runs;
  };
  for (const Row& row : {Row{http::HttpErrc::kReset, 1}, Row{http::HttpErrc::kTimeout, 0},
                         Row{http::HttpErrc::kStaleConnection, 0}}) {
    CAPTURE(http::describe(row.code));
    CountingFixture fixture;
    fixture.ask("/once/x");
    fixture.last().fail(row.code, true);
    CHECK(fixture.runs["t1"] == row.runs);
  }
}

TEST_CASE("a request without a known key gets 401 and does not run") {
  KeyedFixture fixture;
  const std::string long_key(8192, 'k');
  for (const std::string& authorization :
       {std::string(), std::string("Token"), std::string("Token "), std::string("Token k"),
        std::string("Token K1"), std::string("Basic k1"), std::string("k1"), "Token " + long_key}) {
    CAPTURE(authorization);
    const auto caller = fixture.send_with_key("/once/x", authorization);
    CHECK(caller->head.status == 401);
    CHECK(caller->header("www-authenticate") == "Token");
    CHECK(caller->body.find("k1") == std::string::npos);
  }
  CHECK(fixture.sends() == 0);
  CHECK(fixture.statistics.unknown_key == 8);
}

TEST_CASE("a node that cannot verify a key answers 503 and sends nothing") {
  KeyedFixture fixture;
  fixture.refresh_succeeds = false;
  CHECK(fixture.send_with_key("/once/x", "Token new")->head.status == 503);
  CHECK(fixture.sends() == 0);
}

TEST_CASE("an unknown route takes precedence over an unknown key") {
  KeyedFixture fixture;
  CHECK(fixture.send_with_key("/nowhere/", "Token unknown")->head.status == 404);
}

TEST_CASE("an anonymous route needs no key but rejects an unknown one") {
  KeyedFixture fixture;
  fixture.send("/open/x", {{fixture.names.tenant, "forged"}});
  REQUIRE(fixture.sends() == 1);
  CHECK(fixture.last().header(fixture.names.tenant).empty());
  fixture.send_with_key("/open/x", "Token k1");
  CHECK(fixture.last().header(fixture.names.tenant) == "t1");
  CHECK(fixture.send_with_key("/open/x", "Token gone")->head.status == 401);
}

TEST_CASE(
    "without tenants callers need no keys, and their credentials are forwarded to back ends") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.send("/once/x", {{"authorization", "Basic own"}});
  REQUIRE(fixture.sends() == 1);
  CHECK(fixture.last().header("authorization") == "Basic own");
}

TEST_CASE("the tenant's priority overrides the route's") {
  KeyedFixture fixture;
  fixture.add_backend("e1", "llm", EngineRole::kDecode);
  Configuration configuration = GatewayFixture::make_configuration(3);
  configuration.tenants = {{.name = TenantName("t1"), .priority = 2, .keys = {digest_key("k1")}},
                           {.name = TenantName("t2"), .priority = {}, .keys = {digest_key("k2")}}};
  fixture.fleet.apply(std::move(configuration));
  const auto priority_of = [&](const std::string& key) {
    fixture.send("/stream/x", {{"authorization", "Token " + key},
                               {fixture.names.prompt_parts, "1:10"},
                               {fixture.names.token_counts, "10,1"}});
    return fixture.last().header(fixture.names.priority);
  };
  CHECK(priority_of("k1") == std::to_string(engine_priority(2, 10)));
  CHECK(priority_of("k2") == std::to_string(engine_priority(0, 10)));
}

TEST_CASE(
    "under frequent configuration changes a key is accepted exactly while it is known, for its "
    "tenant") {
  CHECK(rc::check("keys are added, removed and moved between tenants", [] {
    KeyedFixture fixture;
    std::map<std::string, std::string> keys{{"k1", "t1"}};
    std::uint64_t version = 2;
    for (int step = 0; step != 40; ++step) {
      const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 6));
      const int what = *rc::gen::inRange(0, 4);
      if (what == 0) {
        keys.erase(key);
        fixture.apply(++version, keys);
      } else if (what == 1) {
        keys[key] = "t" + std::to_string(*rc::gen::inRange(0, 3));
        fixture.apply(++version, keys);
      } else {
        const std::size_t before = fixture.sends();
        const auto caller = fixture.send_with_key("/once/x", "Token " + key);
        const auto known = keys.find(key);
        RC_ASSERT(fixture.sends() == before + (known == keys.end() ? 0 : 1));
        if (known == keys.end()) {
          RC_ASSERT(caller->head.status == 401);
        } else {
          RC_ASSERT(fixture.last().header(fixture.names.tenant) == known->second);
        }
      }
    }
  }));
}
