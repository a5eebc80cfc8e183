// Requests that arrive at all moments of a planned stop, on connections that rested, on new ones,
// and in two parts. Guards against a request that is passed on late in the grace period and cut off
// at its end, and against a rejection of one that runs.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_node/tests/stopping_node.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

constexpr Duration kGrace = 8s;
constexpr Duration kListenerCloses = 3400ms;
/// From then on, callers count on an answer.
constexpr Duration kRelyAfter = 3s;
constexpr Duration kStep = 100ms;
/// Requests that arrive later than this before the end may find the process gone.
constexpr Duration kLastArrival = kGrace - 700ms;

enum class Manner : std::uint8_t { kRestedConnection, kNewConnection, kTwoParts };

struct Form {
  const char* path;
  const char* deadline;  ///< Milliseconds; empty: none.
};

constexpr Form kForms[] = {{"/short/1", ""},    {"/short/1", "300"},  {"/long/1", ""},
                           {"/long/1", "2500"}, {"/stream/1", ""},    {"/stream/1", "900"},
                           {"/unknown/1", ""},  {"/unknown/1", "200"}};

struct LateRequest {
  std::string id;
  Duration arrives{};
  Manner manner = Manner::kRestedConnection;
  std::string text;
  std::unique_ptr<RawCaller> caller;
};

std::vector<LateRequest> make_requests() {
  std::vector<LateRequest> requests;
  std::size_t form = 0;
  for (Duration at = Duration::zero(); at <= kLastArrival; at += kStep) {
    for (const Manner manner :
         {Manner::kRestedConnection, Manner::kNewConnection, Manner::kTwoParts}) {
      if (manner == Manner::kNewConnection && at > kListenerCloses) {
        continue;
      }
      const Form& chosen = kForms[form++ % std::size(kForms)];
      LateRequest request{.id = "r" + std::to_string(requests.size()),
                          .arrives = at,
                          .manner = manner,
                          .text = {},
                          .caller = nullptr};
      request.text = "POST " + std::string(chosen.path) +
                     " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + request.id + "\r\n";
      if (*chosen.deadline != '\0') {
        request.text += "X-Deadline-Ms: " + std::string(chosen.deadline) + "\r\n";
      }
      request.text += "Content-Length: 4\r\n\r\nbody";
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

/// Sends what of the request is due at `now`.
void send_due(LateRequest& request, Duration now, const Endpoint& node) {
  constexpr std::size_t kRest = 3;
  const std::string_view text = request.text;
  if (request.manner == Manner::kTwoParts &&
      now == std::max<Duration>(request.arrives - kStep, {})) {
    request.caller->send(text.substr(0, text.size() - kRest));
  }
  if (now != request.arrives) {
    return;
  }
  if (request.manner == Manner::kNewConnection) {
    request.caller = std::make_unique<RawCaller>(node);
  }
  request.caller->send(request.manner == Manner::kTwoParts ? text.substr(text.size() - kRest)
                                                           : text);
}

bool is_whole(const std::string& answer) {
  const std::size_t body = answer.find("\r\n\r\n");
  const std::size_t length = answer.find("Content-Length: ");
  return body != std::string::npos && length != std::string::npos && length < body &&
         answer.size() == body + 4 + std::stoul(answer.substr(length + 16));
}

}  // namespace

TEST_CASE("each request that is read during a stop is answered, and none that runs is rejected") {
  NodeFixture fixture;
  SUBCASE("with a store that answers") {}
  SUBCASE("with a silent store") {
    fixture.store.silent = true;
  }
  std::vector<LateRequest> requests = make_requests();
  for (LateRequest& request : requests) {
    if (request.manner != Manner::kNewConnection) {
      request.caller = std::make_unique<RawCaller>(fixture.address());
    }
  }
  fixture.settle();
  fixture.node.stop();
  for (Duration now{}; now < kGrace && !fixture.stopped(); now += kStep) {
    for (LateRequest& request : requests) {
      send_due(request, now, fixture.address());
    }
    fixture.settle();
    fixture.advance(kStep);
  }
  CHECK(fixture.stopped());
  for (LateRequest& request : requests) {
    CAPTURE(request.text);
    CAPTURE(to_seconds(request.arrives));
    const std::string& answer = request.caller->receive();
    CAPTURE(answer);
    CHECK(is_whole(answer));
    const bool promises = answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429");
    CHECK_FALSE((promises && fixture.backend.ids.contains(request.id)));
    if (request.arrives > kRelyAfter && fixture.backend.ids.contains(request.id)) {
      CHECK(answer.starts_with("HTTP/1.1 504"));  // By its own deadline, not by the stop.
    }
  }
}
