// Tests of requests whose caller has left before the event loop notices. Guards against sending
// such a request, which a back end would work on for nobody. Each case is a send of another kind.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace ochrespring::gateway::testing;

namespace {

struct DisconnectFixture : GatewayFixture {
  const std::vector<http::Header> long_prompt = {{names.prompt_parts, "aa:9000,bb:9000"},
                                                 {names.token_counts, "18000,50"}};

  /// Reports that the connection of the latest exchange is established after the caller has left.
  /// Checks that the request ends without another byte to any back end.
  void connect_after_departure(FakeCaller& caller) {
    caller.unnoticed_disconnect = true;
    const std::size_t sends_before = sends();
    CHECK_FALSE(connect());
    CHECK(sends() == sends_before);
    CHECK(gateway.running() == 0);
    CHECK_FALSE(caller.ended());
    CHECK(statistics.caller_gone == 1);
    CHECK(statistics.sends_without_caller == 1);
  }
};

}  // namespace

TEST_CASE_FIXTURE(DisconnectFixture, "a request whose caller has left is not even placed") {
  add_backend("b1", "relay");
  const auto caller = std::make_shared<FakeCaller>();
  caller->unnoticed_disconnect = true;
  gateway.handle({"POST", "/once/x", "", {{"host", "h"}}, "body"}, caller);
  CHECK(sends() == 0);
  CHECK(gateway.running() == 0);
  CHECK(statistics.caller_gone == 1);
}

TEST_CASE_FIXTURE(DisconnectFixture, "the first send is withdrawn when the caller has left") {
  add_backend("b1", "relay");
  const auto caller = send("/once/x");
  connect_after_departure(*caller);
  CHECK(statistics.refused == 0);
}

TEST_CASE_FIXTURE(DisconnectFixture, "a retry is withdrawn when the caller has left") {
  add_backend("b1", "relay");
  add_backend("b2", "relay");
  const auto caller = send("/idempotent/x");
  last().fail(http::HttpErrc::kReset, true);
  REQUIRE(sends() == 2);
  connect_after_departure(*caller);
}

TEST_CASE_FIXTURE(DisconnectFixture, "a prefill call is withdrawn when the caller has left") {
  add_backend("p1", "llm", EngineRole::kPrefill);
  add_backend("d1", "llm", EngineRole::kDecode);
  const auto caller = send("/stream/x", long_prompt);
  REQUIRE(last().header(names.phase) == "prefill");
  connect_after_departure(*caller);
}

TEST_CASE_FIXTURE(DisconnectFixture,
                  "a run after its prefill is withdrawn when the caller has left, and the cache is "
                  "released") {
  add_backend("p1", "llm", EngineRole::kPrefill);
  add_backend("d1", "llm", EngineRole::kDecode);
  const auto caller = send("/stream/x", long_prompt);
  last().answer(200, {}, "handle=h7");
  REQUIRE(sends() == 2);
  connect_after_departure(*caller);
  REQUIRE(transport.sent_without_reply.size() == 1);
  CHECK(transport.sent_without_reply[0].path == "/cache/h7");
}

TEST_CASE_FIXTURE(DisconnectFixture, "a prefill call ends when its caller leaves") {
  add_backend("p1", "llm", EngineRole::kPrefill);
  add_backend("d1", "llm", EngineRole::kDecode);
  const auto caller = send("/stream/x", long_prompt);
  caller->disconnect();
  CHECK_FALSE(last().open);
  CHECK(sends() == 1);
  CHECK(gateway.running() == 0);
}
