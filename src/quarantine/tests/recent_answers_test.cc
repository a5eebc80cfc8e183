// Tests the memory of prompt parts that were answered lately.
#include "quarantine/recent_answers.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;
using gateway::RequestFingerprint;

namespace {

RequestFingerprint part(std::uint64_t number) {
  return {gateway::kPromptPartMark, number};
}

MonotonicTime at(Duration since_start) {
  return MonotonicTime(since_start);
}

}  // namespace

// Guards against parts that count as answered for good.
TEST_CASE("an answer is remembered for one to two lifetimes") {
  RecentAnswers answers({.min_lifetime = 60s});
  answers.note({part(1)}, at(1000s));
  CHECK(answers.contains(part(1), at(1059s)));
  CHECK_FALSE(answers.contains(part(2), at(1059s)));
  CHECK_FALSE(answers.contains(part(1), at(1122s)));
}

// Guards against memory that callers fill with invented parts.
TEST_CASE("many parts replace the oldest, and parts that go on being answered stay") {
  RecentAnswers answers({.max_parts = 10});
  for (std::uint64_t i = 0; i != 100; ++i) {
    answers.note({part(i), part(1'000)}, at(1000s));
    CHECK(answers.contains(part(1'000), at(1000s)));
  }
  CHECK_FALSE(answers.contains(part(0), at(1000s)));
  CHECK(answers.contains(part(99), at(1000s)));
}
