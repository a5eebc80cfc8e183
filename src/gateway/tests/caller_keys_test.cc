// Whose requests run: keys, tenants, and what happens while the configuration changes.
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

  /// Puts a configuration in force that knows these keys; the route `/open/` needs none.
  void apply(std::uint64_t version, const std::map<std::string, std::string>& keys) {
    Configuration configuration = make_configuration(version);
    Route open = make_route("/open/", RequestKind::kIdempotent, "relay", 1, false);
    open.anonymous = true;
    configuration.routes.push_back(open);
    // A tenant without keys keeps the configuration one that asks for keys.
    configuration.tenants.push_back({.name = TenantName("nobody"), .priority = {}, .keys = {}});
    for (const auto& [key, tenant] : keys) {
      configuration.tenants.push_back(
          {.name = TenantName(tenant), .priority = {}, .keys = {digest_key(key)}});
    }
    fleet.apply(std::move(configuration));
  }

  /// Runs of tenants are counted.
  Environment counting_into(std::map<std::string, int>& runs) {
    Environment made = environment();
    made.note_run = [&runs](const TenantName& tenant, Duration) { ++runs[tenant.value()]; };
    return made;
  }

  auto send_with_key(const std::string& path, const std::string& authorization) {
    return send(path, {{"authorization", authorization}, {names.tenant, "forged"}});
  }
};

}  // namespace

TEST_CASE("a request with a known key runs for its tenant, and the key goes no further") {
  KeyedFixture world;
  world.send_with_key("/once/x", "Token k1");
  REQUIRE(world.sends() == 1);
  CHECK(world.last().header(world.names.tenant) == "t1");
  CHECK(world.last().header("authorization").empty());
  world.send_with_key("/once/x", "token  k1 ");
  CHECK(world.sends() == 2);
}

TEST_CASE("a run whose signed answer breaks off counts for its tenant, once") {
  KeyedFixture world;
  std::map<std::string, int> runs;
  Gateway counting(world.counting_into(runs), [](auto done) { done(true); });
  world.add_backend("b2", "relay");
  auto caller = std::make_shared<testing::FakeCaller>();
  counting.handle({"POST", "/idempotent/x", "", {{"host", "h"}, {"authorization", "Token k1"}}, ""},
                  caller);
  world.last().observer->on_head({200, {world.signature()}});
  world.last().fail(http::HttpErrc::kTruncated, true);
  CHECK(runs["t1"] == 1);
  world.last().answer(200, {world.signature()}, "ok");
  CHECK(caller->head.status == 200);
  CHECK(runs["t1"] == 1);
}

TEST_CASE(
    "a request whose server closes before its answer counts as run, one that it may not have "
    "had does not") {
  struct Row {
    http::HttpErrc code;
    int runs;
  };
  for (const Row& row : {Row{http::HttpErrc::kReset, 1}, Row{http::HttpErrc::kTimeout, 0},
                         Row{http::HttpErrc::kStaleConnection, 0}}) {
    CAPTURE(http::describe(row.code));
    KeyedFixture world;
    std::map<std::string, int> runs;
    Gateway counting(world.counting_into(runs), [](auto done) { done(true); });
    auto caller = std::make_shared<testing::FakeCaller>();
    counting.handle({"POST", "/once/x", "", {{"host", "h"}, {"authorization", "Token k1"}}, ""},
                    caller);
    world.last().fail(row.code, true);
    CHECK(runs["t1"] == row.runs);
  }
}

TEST_CASE("a request without a known key is answered 401 and not run") {
  KeyedFixture world;
  const std::string long_key(8192, 'k');
  for (const std::string& authorization :
       {std::string(), std::string("Token"), std::string("Token "), std::string("Token k"),
        std::string("Token K1"), std::string("Basic k1"), std::string("k1"), "Token " + long_key}) {
    CAPTURE(authorization);
    const auto caller = world.send_with_key("/once/x", authorization);
    CHECK(caller->head.status == 401);
    CHECK(caller->header("www-authenticate") == "Token");
    CHECK(caller->body.find("k1") == std::string::npos);
  }
  CHECK(world.sends() == 0);
  CHECK(world.statistics.unknown_key == 8);
}

TEST_CASE("a node that cannot tell whether a key is known promises only that nothing ran") {
  KeyedFixture world;
  world.refresh_succeeds = false;
  CHECK(world.send_with_key("/once/x", "Token new")->head.status == 503);
  CHECK(world.sends() == 0);
}

TEST_CASE("an unknown route is told before an unknown key") {
  KeyedFixture world;
  CHECK(world.send_with_key("/nowhere/", "Token unknown")->head.status == 404);
}

TEST_CASE("an open route needs no key, but a key that is sent has to be known") {
  KeyedFixture world;
  world.send("/open/x", {{world.names.tenant, "forged"}});
  REQUIRE(world.sends() == 1);
  CHECK(world.last().header(world.names.tenant).empty());
  world.send_with_key("/open/x", "Token k1");
  CHECK(world.last().header(world.names.tenant) == "t1");
  CHECK(world.send_with_key("/open/x", "Token gone")->head.status == 401);
}

TEST_CASE("without tenants callers need no keys, and their credentials are back ends'") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.send("/once/x", {{"authorization", "Basic own"}});
  REQUIRE(world.sends() == 1);
  CHECK(world.last().header("authorization") == "Basic own");
}

TEST_CASE("the tenant's priority goes before the route's") {
  KeyedFixture world;
  world.add_backend("e1", "llm", EngineRole::kDecode);
  Configuration configuration = GatewayFixture::make_configuration(3);
  configuration.tenants = {{.name = TenantName("t1"), .priority = 2, .keys = {digest_key("k1")}},
                           {.name = TenantName("t2"), .priority = {}, .keys = {digest_key("k2")}}};
  world.fleet.apply(std::move(configuration));
  const auto priority_of = [&](const std::string& key) {
    world.send("/stream/x", {{"authorization", "Token " + key},
                             {world.names.prompt_parts, "1:10"},
                             {world.names.token_counts, "10,1"}});
    return world.last().header(world.names.priority);
  };
  CHECK(priority_of("k1") == std::to_string(engine_priority(2, 10)));
  CHECK(priority_of("k2") == std::to_string(engine_priority(0, 10)));
}

TEST_CASE("through storms of configurations a key runs just while it is known, for its tenant") {
  CHECK(rc::check("keys come, go and change hands", [] {
    KeyedFixture world;
    std::map<std::string, std::string> keys{{"k1", "t1"}};
    std::uint64_t version = 2;
    for (int step = 0; step != 40; ++step) {
      const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 6));
      const int what = *rc::gen::inRange(0, 4);
      if (what == 0) {
        keys.erase(key);
        world.apply(++version, keys);
      } else if (what == 1) {
        keys[key] = "t" + std::to_string(*rc::gen::inRange(0, 3));
        world.apply(++version, keys);
      } else {
        const std::size_t before = world.sends();
        const auto caller = world.send_with_key("/once/x", "Token " + key);
        const auto known = keys.find(key);
        RC_ASSERT(world.sends() == before + (known == keys.end() ? 0 : 1));
        if (known == keys.end()) {
          RC_ASSERT(caller->head.status == 401);
        } else {
          RC_ASSERT(world.last().header(world.names.tenant) == known->second);
        }
      }
    }
  }));
}
