// Tests which prompt parts are found to cause terminations.
#include "quarantine/crash_attribution.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;
using gateway::RequestFingerprint;

namespace {

constexpr std::size_t kThreshold = AttributionOptions().min_terminations;

RequestFingerprint part(std::uint64_t number) {
  return {gateway::kPromptPartMark, number};
}

gateway::BackendId backend(int number) {
  return gateway::BackendId("i-" + std::to_string(number));
}

/// Back end N terminated N seconds after the start.
std::map<gateway::BackendId, MonotonicTime> terminations(std::initializer_list<int> numbers) {
  std::map<gateway::BackendId, MonotonicTime> found;
  for (const int number : numbers) {
    found.emplace(backend(number), MonotonicTime(number * 1s));
  }
  return found;
}

RequestTerminations backends(std::initializer_list<int> numbers) {
  RequestTerminations ids;
  for (const int number : numbers) {
    ids.insert(backend(number));
  }
  return ids;
}

std::set<RequestFingerprint> causes(const std::vector<PartSuspect>& suspects,
                                    const std::vector<RequestTerminations>& requests = {}) {
  return attribute_terminations(suspects, requests);
}

using Parts = std::set<RequestFingerprint>;

}  // namespace

// Guards against sound popular parts that are held back for the crashes of another.
TEST_CASE("a part that was not answered lately explains the terminations of those that were") {
  CHECK(causes({{part(1), terminations({1, 2, 3})},
                {part(2), terminations({1, 2, 3, 4, 5}), true}}) == Parts{part(1)});
  CHECK(causes({{part(1), terminations({1, 2, 3})},
                {part(2), terminations({1, 2, 3, 4, 5, 6}), true}}) == Parts{part(1), part(2)});
}

// Guards against a crashing part that hides behind another, which ran beside it more often.
TEST_CASE("parts that were all answered lately, or all not, do not explain each other") {
  for (const bool answered_lately : {false, true}) {
    CHECK(causes({{part(1), terminations({1, 2, 3, 4}), answered_lately},
                  {part(2), terminations({2, 3, 4}), answered_lately}}) == Parts{part(1), part(2)});
  }
}

// Guards against holding all callers of a part for one request that crashes by its body.
TEST_CASE("one quarantined request explains a part whose terminations are all its own") {
  CHECK(causes({{part(1), terminations({1, 2, 3})}}, {backends({1, 2, 3, 4})}).empty());
  CHECK(causes({{part(1), terminations({1, 2, 3, 9})}}, {backends({1, 2, 3, 4})}) ==
        Parts{part(1)});
  CHECK(causes({{part(1), terminations({1, 2, 3, 4, 5, 6})}},
               {backends({1, 2, 3}), backends({4, 5, 6})}) == Parts{part(1)});
}

// Guards against holding everything back after an outage of all back ends.
TEST_CASE("terminations at one time do not attribute a part that was answered lately") {
  PartSuspect suspect{part(1), terminations({1, 2, 3, 4, 5}), true};
  for (auto& [backend, at] : suspect.terminations) {
    at = MonotonicTime(10s);
  }
  CHECK(causes({suspect}).empty());
  suspect.terminations[backend(6)] = MonotonicTime(13s);
  CHECK(causes({suspect}) == Parts{part(1)});
}

TEST_CASE("fewer terminations than the threshold attribute nothing") {
  CHECK(causes({{part(1), terminations({1, 2})}}).empty());
}

// Guards against nodes that hold different parts after the same reports.
TEST_CASE("causes do not depend on the order of the suspects, and explain all they are held for") {
  rc::check([] {
    std::vector<PartSuspect> suspects;
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i != count; ++i) {
      PartSuspect suspect{part(static_cast<std::uint64_t>(i))};
      for (const int number : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
        suspect.terminations.emplace(backend(number), MonotonicTime(number * 1s));
      }
      suspect.answered_lately = *rc::gen::arbitrary<bool>();
      suspects.push_back(suspect);
    }
    const Parts found = causes(suspects);
    auto reversed = suspects;
    std::reverse(reversed.begin(), reversed.end());
    RC_ASSERT(causes(reversed) == found);
    for (const PartSuspect& suspect : suspects) {
      RC_ASSERT(!found.contains(suspect.part) || suspect.terminations.size() >= kThreshold);
    }
  });
}
