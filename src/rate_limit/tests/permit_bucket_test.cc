// The number of permits a bucket grants, and their recipients.
#include "rate_limit/permit_bucket.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "base/random.h"

using namespace ochrespring;
using namespace ochrespring::rate_limit;
using namespace std::chrono_literals;

namespace {

const NodeId kNode("n1");
const NodeId kOther("n2");

MonotonicTime at(Duration span) {
  return MonotonicTime() + span;
}

}  // namespace

TEST_CASE("a bucket starts empty, and a denied node gets the time of the next token") {
  PermitBucket bucket({2000}, at(0s));
  const PermitDecision denied = bucket.request_permit(kNode, 1, at(0s));
  CHECK_FALSE(denied.granted);
  CHECK(denied.wait == 500ms);
  CHECK(bucket.request_permit(kNode, 1, at(500ms)).granted);
  CHECK_FALSE(bucket.request_permit(kNode, 1, at(510ms)).granted);
}

TEST_CASE("waiting nodes are assigned successive times") {
  PermitBucket bucket({4000}, at(0s));
  CHECK(bucket.request_permit(kNode, 1, at(0s)).wait == 250ms);
  CHECK(bucket.request_permit(kOther, 1, at(0s)).wait == 500ms);
  CHECK(bucket.request_permit(kNode, 1, at(0s)).wait == 250ms);
}

TEST_CASE("the last token is reserved for a more urgent request that was denied recently") {
  PermitBucket bucket({2000}, at(0s));
  CHECK_FALSE(bucket.request_permit(kOther, gateway::kStartedStreamRank, at(400ms)).granted);
  CHECK_FALSE(bucket.request_permit(kNode, 3, at(600ms)).granted);
  CHECK(bucket.request_permit(kOther, gateway::kStartedStreamRank, at(700ms)).granted);
  CHECK(bucket.request_permit(kNode, 3, at(1100ms)).granted);
}

TEST_CASE("a limit of zero grants one permit in five seconds") {
  PermitBucket bucket({0}, at(0s));
  int granted = 0;
  for (Duration now{}; now < 50s; now += 100ms) {
    granted += bucket.request_permit(kNode, 1, at(now)).granted ? 1 : 0;
  }
  CHECK(granted >= 8);
  CHECK(granted <= 10);
}

TEST_CASE("a clock that stops or goes backwards does not add tokens twice") {
  PermitBucket bucket({1000}, at(10s));
  CHECK_FALSE(bucket.request_permit(kNode, 1, at(5s)).granted);
  CHECK(bucket.request_permit(kNode, 1, at(11s)).granted);
  CHECK_FALSE(bucket.request_permit(kNode, 1, at(9s)).granted);
  CHECK_FALSE(bucket.request_permit(kNode, 1, at(11s)).granted);
}

TEST_CASE(
    "under changing limits, no 4 s window contains more grants than the highest limit allows in "
    "5 s, plus one") {
  CHECK(rc::check([](const std::vector<std::uint16_t>& limits, std::uint32_t seed) {
    SeededRandom random(seed);
    PermitBucket bucket({limits.empty() ? 1000U : limits.front()}, at(0s));
    std::vector<MonotonicTime> grants;
    std::uint64_t highest = 200;  // A limit of zero still allows one request in five seconds.
    MonotonicTime now = at(0s);
    for (const std::uint16_t limit : limits) {
      bucket.set_limit({limit}, now);
      highest = std::max<std::uint64_t>(highest, limit);
      for (int i = 0; i != 20; ++i) {
        now += from_seconds(random.exponential(0.05));
        if (bucket.request_permit(random.chance(0.5) ? kNode : kOther, 1, now).granted) {
          grants.push_back(now);
        }
      }
    }
    const double per_second = static_cast<double>(highest) / 1000;
    std::size_t first = 0;
    for (std::size_t last = 0; last != grants.size(); ++last) {
      while (grants[last] - grants[first] > 4s) {
        ++first;
      }
      RC_ASSERT(static_cast<double>(last - first + 1) <= 5 * per_second + 1 + 1e-6);
    }
  }));
}
