// Tests for the observations that requests pass to EngineObserver, and for those left out because
// they do not show the engine's speed.
#include "gateway/engine_observer.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace ochrespring::gateway::testing;
using std::chrono::milliseconds;

namespace {

class RecordingObserver final : public EngineObserver {
 public:
  std::optional<std::uint64_t> events_of(const BackendId& /*engine*/,
                                         std::uint64_t tokens) const override {
    return tokens / 10;
  }
  void note_gaps(const GapObservation& observation, MonotonicTime /*now*/) override {
    gaps.push_back(observation);
  }
  void note_prefill(const PrefillObservation& observation, MonotonicTime /*now*/) override {
    prefills.push_back(observation);
  }
  void note_pace(const BackendId& /*engine*/, std::uint32_t percent,
                 MonotonicTime /*now*/) override {
    paces.push_back(percent);
  }
  void begin_long_stream(const BackendId& engine, MonotonicTime /*now*/) override {
    ++long_streams[engine];
  }
  void end_long_stream(const BackendId& engine, MonotonicTime /*now*/) override {
    --long_streams[engine];
  }

  std::vector<GapObservation> gaps;
  std::vector<PrefillObservation> prefills;
  std::vector<std::uint32_t> paces;
  std::map<BackendId, int> long_streams;
};

const std::vector<http::Header> kPrompt = {{"x-ochrespring-prompt-parts", "aa:200"},
                                           {"x-ochrespring-token-counts", "200,120"}};

struct ObservedGateway : GatewayFixture {
  RecordingObserver seen;
  Gateway observed{observing(), [](auto done) { done(true); }};

  Environment observing() {
    Environment result = environment();
    result.observer = &seen;
    return result;
  }
  std::shared_ptr<FakeCaller> send_request(const std::string& path,
                                           std::vector<http::Header> headers = kPrompt) {
    headers.push_back({"host", "h"});
    auto caller = std::make_shared<FakeCaller>();
    observed.handle({"POST", path, "", std::move(headers), "body"}, caller);
    return caller;
  }
  /// Sends `events` events, each after `gap`.
  void send_events(int events, Duration gap) {
    for (int i = 0; i != events; ++i) {
      advance(gap);
      last().observer->on_body("id: " + std::to_string(++event_) + "\ndata: a\n\n");
    }
  }

 private:
  int event_ = 0;
};

}  // namespace

TEST_CASE_FIXTURE(ObservedGateway,
                  "a stream reports its gaps, its prefill, and the time while it counts as long") {
  add_backend("e1", "llm", EngineRole::kDecode);
  const BackendId engine("e1");
  send_request("/stream/x");
  advance(milliseconds(20));
  last().observer->on_head({200, {signature(), {names.load, "1,0,8,130"}}});
  CHECK(seen.paces == std::vector<std::uint32_t>{130});
  send_events(9, milliseconds(40));
  REQUIRE(seen.gaps.size() == 1);
  CHECK(seen.gaps[0].gaps == 8);
  CHECK(seen.gaps[0].took == milliseconds(320));
  REQUIRE(seen.prefills.size() == 1);
  CHECK(seen.prefills[0].took == milliseconds(60));
  CHECK(seen.prefills[0].tokens == 200);
  CHECK(seen.prefills[0].includes_first_event);
  CHECK(seen.long_streams[engine] == 0);  // 12 events are expected, 3 remain.
}

TEST_CASE_FIXTURE(ObservedGateway, "a stream that ends early no longer counts as long") {
  add_backend("e1", "llm", EngineRole::kDecode);
  const auto caller = send_request("/stream/x");
  last().observer->on_head({200, {signature()}});
  send_events(2, milliseconds(40));
  CHECK(seen.long_streams[BackendId("e1")] == 1);
  caller->disconnect();
  CHECK(seen.long_streams[BackendId("e1")] == 0);
}

TEST_CASE_FIXTURE(ObservedGateway,
                  "the interruption of a resumed stream is not observed as a gap") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("e2", "llm", EngineRole::kDecode);
  send_request("/resumable/x");
  last().observer->on_head({200, {signature()}});
  send_events(5, milliseconds(10));
  last().fail(http::HttpErrc::kTruncated, true);
  REQUIRE(sends() == 2);
  last().observer->on_head({200, {signature()}});
  advance(milliseconds(150));
  send_events(5, milliseconds(10));
  CHECK(seen.gaps.empty());
  send_events(4, milliseconds(10));
  REQUIRE(seen.gaps.size() == 1);
  CHECK(seen.gaps[0].took == milliseconds(80));
}

TEST_CASE_FIXTURE(ObservedGateway, "gaps are not observed after the caller has stopped reading") {
  add_backend("e1", "llm", EngineRole::kDecode);
  const auto caller = send_request("/stream/x");
  last().observer->on_head({200, {signature()}});
  send_events(4, milliseconds(40));
  caller->buffered = 1U << 20U;
  send_events(1, milliseconds(40));
  caller->buffered = 0;
  send_events(30, milliseconds(0));
  CHECK(seen.gaps.empty());
}

TEST_CASE_FIXTURE(ObservedGateway,
                  "prefill is observed only if it is known which parts the engine has cached") {
  add_backend("p1", "llm", EngineRole::kPrefill);
  add_backend("d1", "llm", EngineRole::kDecode);
  const auto call = [&] {
    send_request("/stream/x", {{"x-ochrespring-prompt-parts", "aa:9000,bb:9000"},
                               {"x-ochrespring-token-counts", "18000,50"}});
    REQUIRE(last().header(names.phase) == "prefill");
    advance(milliseconds(30));
    last().answer(200, {}, "handle=h7");
    last().answer(200, {signature()}, "id: 1\n\n");
  };
  call();
  CHECK(seen.prefills.empty());
  // The shared part is now known to be cached.
  call();
  REQUIRE(seen.prefills.size() == 1);
  CHECK(seen.prefills[0].engine == BackendId("p1"));
  CHECK(seen.prefills[0].tokens == 9000);
  CHECK_FALSE(seen.prefills[0].includes_first_event);
}
