// What follows from backends' terminations, in whatever order nodes hear of them.
#include "quarantine/crash_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;

namespace {

using Request = gateway::RequestFingerprint;

constexpr Request kRequest{1, 2};
const ServiceName kService("s");

gateway::BackendId backend(int number) {
  return gateway::BackendId("i-" + std::to_string(number));
}

BackendTermination termination_of(int number) {
  return {.backend = backend(number), .observer = NodeId("n")};
}

MonotonicTime at(Duration since_start) {
  return MonotonicTime(since_start);
}

/// A ledger in which so many backends terminated under `kRequest`, the last at `last`.
CrashLedger make_ledger(int terminations, Duration last = 100s) {
  CrashLedger ledger;
  for (int i = 0; i != terminations; ++i) {
    ledger.note_termination(kRequest, kService, termination_of(i), at(last));
  }
  return ledger;
}

}  // namespace

TEST_CASE(
    "the third backend that terminations puts a request in quarantine, a repeat of the batch does "
    "not") {
  CrashLedger ledger = make_ledger(2);
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
  CHECK_FALSE(ledger.note_termination(kRequest, kService, termination_of(1), at(101s)));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
  CHECK(ledger.note_termination(kRequest, kService, termination_of(2), at(101s)));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kQuarantined);
}

TEST_CASE("backends that this node sees termination count before anybody has told of them") {
  const CrashLedger ledger = make_ledger(2);
  CHECK(ledger.suspicion_level(kRequest, {backend(1)}) == SuspicionLevel::kSuspected);
  CHECK(ledger.suspicion_level(kRequest, {backend(7)}) == SuspicionLevel::kQuarantined);
  CHECK(ledger.suspicion_level({3, 4}, {backend(1), backend(2), backend(7)}) ==
        SuspicionLevel::kQuarantined);
  CHECK(ledger.suspicion_level({3, 4}) == SuspicionLevel::kNone);
}

TEST_CASE(
    "an answer frees a request, and what is heard later of terminations before it changes "
    "nothing") {
  CrashLedger ledger = make_ledger(3);
  const auto late = ledger.report(kRequest, at(100s));
  CHECK(ledger.excuse(kRequest));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kNone);
  CHECK_FALSE(ledger.merge(*late, at(105s)));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kNone);
  ledger.note_termination(kRequest, kService, termination_of(8), at(106s));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
}

TEST_CASE("a backend that answers what was begun after its termination counts against nobody") {
  CrashLedger ledger = make_ledger(3);
  CHECK(ledger.suspects_for(backend(0), at(99s)).empty());
  CHECK(ledger.suspects_for(backend(0), at(101s)) == std::vector{kRequest});
  ledger.excuse_backend(backend(0));
  CHECK(ledger.suspects_for(backend(0), at(101s)).empty());
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
}

TEST_CASE("three trials, each after a longer pause, and no fourth") {
  CrashLedger ledger = make_ledger(3);
  const Duration pauses[] = {10s, 60s, 600s};
  MonotonicTime now = at(100s);
  for (std::uint32_t i = 0; i != 3; ++i) {
    CHECK(ledger.time_to_trial(kRequest, now) == pauses[i]);
    CHECK(ledger.retry_after(kRequest, now) == pauses[i]);
    now += pauses[i];
    CHECK(ledger.time_to_trial(kRequest, now) == Duration::zero());
    ledger.note_trial(kRequest, i + 1, now);
    ledger.note_termination(kRequest, kService, termination_of(10 + static_cast<int>(i)), now);
  }
  CHECK_FALSE(ledger.time_to_trial(kRequest, now + 1h).has_value());
  CHECK(ledger.retry_after(kRequest, now) == 10min);
}

TEST_CASE("what nobody sends any more is forgotten, and the store is to forget it, too") {
  CrashLedger ledger = make_ledger(3);
  ledger.note_termination({9, 9}, kService, termination_of(0), at(100s));
  ledger.note_stored(kRequest, true);
  ledger.note_request(kRequest, at(1000s));
  CHECK(ledger.drop_expired(at(1000s)).empty());
  CHECK(ledger.count(SuspicionLevel::kSuspected) == 0);
  CHECK(ledger.count(SuspicionLevel::kQuarantined) == 1);
  CHECK(ledger.drop_expired(at(1000s + 29min)).empty());
  CHECK(ledger.drop_expired(at(1000s + 31min)) == std::vector{kRequest});
  CHECK(ledger.empty());
}

TEST_CASE("a crowd of requests leaves those with the most ends") {
  CrashLedger ledger({.max_requests = 100});
  for (int i = 0; i != 3; ++i) {
    ledger.note_termination(kRequest, kService, termination_of(i), at(1s));
  }
  for (std::uint64_t i = 0; i != 1000; ++i) {
    ledger.note_termination({i, 77}, kService, termination_of(5), at(2s));
  }
  CHECK(ledger.count(SuspicionLevel::kSuspected) == 99);
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kQuarantined);
}

TEST_CASE("nodes that have heard the same reports, in any order and number, know the same") {
  CHECK(rc::check("reports merge", [] {
    // Three nodes see terminations and answers; each report of theirs reaches two others as often
    // as it may.
    std::vector<CrashLedger> seen(3);
    std::vector<CrashReport> told;
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step != steps; ++step) {
      CrashLedger& ledger = seen[*rc::gen::inRange<std::size_t>(0, 3)];
      const Request request{1, *rc::gen::inRange<std::uint64_t>(0, 3)};
      const MonotonicTime now = at(step * 1s);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          ledger.excuse(request);
          break;
        case 1:
          ledger.excuse_backend(backend(*rc::gen::inRange(0, 8)));
          break;
        default:
          ledger.note_termination(request, kService, termination_of(*rc::gen::inRange(0, 8)), now);
      }
      for (std::uint64_t low = 0; low != 3; ++low) {
        if (auto report = ledger.report({1, low}, now)) {
          told.push_back(*report);
        }
      }
    }
    CrashLedger one;
    CrashLedger other;
    for (const CrashReport& report : told) {
      one.merge(report, at(100s));
    }
    std::vector<CrashReport> again = told;
    again.insert(again.end(), told.begin(), told.end());
    const auto order = *rc::gen::container<std::vector<std::uint64_t>>(
        again.size(), rc::gen::arbitrary<std::uint64_t>());
    std::vector<std::size_t> indices(again.size());
    for (std::size_t i = 0; i != indices.size(); ++i) {
      indices[i] = i;
    }
    std::sort(indices.begin(), indices.end(),
              [&](std::size_t left, std::size_t right) { return order[left] < order[right]; });
    for (const std::size_t index : indices) {
      other.merge(again[index], at(200s));
    }
    for (std::uint64_t low = 0; low != 3; ++low) {
      RC_ASSERT(one.suspicion_level({1, low}) == other.suspicion_level({1, low}));
      const auto left = one.report({1, low}, at(200s));
      const auto right = other.report({1, low}, at(200s));
      RC_ASSERT(left.has_value() == right.has_value());
      RC_ASSERT(!left || left->terminations.size() == right->terminations.size());
    }
  }));
}

TEST_CASE("ends that may have been forgotten count as one, and leave fewer trials") {
  const BackendTermination forgotten{.backend = kUnknownBackend, .observer = NodeId("n")};
  CrashLedger ledger = make_ledger(1);
  ledger.note_termination(kRequest, kService, forgotten, at(100s));
  ledger.note_termination(kRequest, kService, forgotten, at(100s));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
  CHECK(ledger.should_store(kRequest));
  ledger.note_termination(kRequest, kService, termination_of(1), at(101s));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kQuarantined);
  CHECK(ledger.time_to_trial(kRequest, at(111s)) == Duration::zero());
  // Two terminations, one trial: three sends may have followed the third termination.
  ledger.note_trial(kRequest, 1, at(111s));
  CHECK_FALSE(ledger.time_to_trial(kRequest, at(1000s)));
}

TEST_CASE(
    "a request is left one trial, however many terminations came at once beside forgotten ones") {
  CrashLedger ledger = make_ledger(5);
  ledger.note_termination(kRequest, kService, {.backend = kUnknownBackend, .observer = NodeId("n")},
                          at(100s));
  CHECK(ledger.time_to_trial(kRequest, at(110s)) == Duration::zero());
  ledger.note_trial(kRequest, 1, at(110s));
  CHECK_FALSE(ledger.time_to_trial(kRequest, at(1000s)));
}

TEST_CASE("an answer clears a request of forgotten terminations, too") {
  CrashLedger ledger = make_ledger(1);
  ledger.note_termination(kRequest, kService, {.backend = kUnknownBackend, .observer = NodeId("n")},
                          at(100s));
  CHECK(ledger.excuse(kRequest));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kNone);
}
