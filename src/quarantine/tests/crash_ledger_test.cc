// Tests the decisions that follow from terminations, in whatever order reports arrive.
#include "quarantine/crash_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
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

/// Returns a ledger with this many terminations of `kRequest`, all at `last`.
CrashLedger make_ledger(int terminations, Duration last = 100s) {
  CrashLedger ledger;
  for (int i = 0; i != terminations; ++i) {
    ledger.note_termination(kRequest, kService, termination_of(i), at(last));
  }
  return ledger;
}

}  // namespace

TEST_CASE(
    "the third back end that terminates quarantines a request; a duplicate report changes "
    "nothing") {
  CrashLedger ledger = make_ledger(2);
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
  CHECK_FALSE(ledger.note_termination(kRequest, kService, termination_of(1), at(101s)));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
  CHECK(ledger.note_termination(kRequest, kService, termination_of(2), at(101s)));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kQuarantined);
}

TEST_CASE("terminations under investigation count before they are in the ledger") {
  const CrashLedger ledger = make_ledger(2);
  CHECK(ledger.suspicion_level(kRequest, {backend(1)}) == SuspicionLevel::kSuspected);
  CHECK(ledger.suspicion_level(kRequest, {backend(7)}) == SuspicionLevel::kQuarantined);
  CHECK(ledger.suspicion_level({3, 4}, {backend(1), backend(2), backend(7)}) ==
        SuspicionLevel::kQuarantined);
  CHECK(ledger.suspicion_level({3, 4}) == SuspicionLevel::kNone);
}

TEST_CASE(
    "an answer clears a request, and a late report of earlier terminations does not change that") {
  CrashLedger ledger = make_ledger(3);
  const auto late = ledger.report(kRequest, at(100s));
  CHECK(ledger.excuse(kRequest));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kNone);
  CHECK_FALSE(ledger.merge(*late, at(105s)));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kNone);
  ledger.note_termination(kRequest, kService, termination_of(8), at(106s));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
}

TEST_CASE("the termination of a back end that answers a later attempt counts against no request") {
  CrashLedger ledger = make_ledger(3);
  CHECK(ledger.suspects_for(backend(0), at(99s)).empty());
  CHECK(ledger.suspects_for(backend(0), at(101s)) == std::vector{kRequest});
  ledger.excuse_backend(backend(0));
  CHECK(ledger.suspects_for(backend(0), at(101s)).empty());
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
}

TEST_CASE("three trials are allowed, each after a longer delay, and no fourth") {
  CrashLedger ledger = make_ledger(3);
  const Duration delays[] = {10s, 60s, 600s};
  MonotonicTime now = at(100s);
  for (std::uint32_t i = 0; i != 3; ++i) {
    CHECK(ledger.time_to_trial(kRequest, now) == delays[i]);
    CHECK(ledger.retry_after(kRequest, now) == delays[i]);
    now += delays[i];
    CHECK(ledger.time_to_trial(kRequest, now) == Duration::zero());
    ledger.note_trial(kRequest, i + 1, now);
    ledger.note_termination(kRequest, kService, termination_of(10 + static_cast<int>(i)), now);
  }
  CHECK_FALSE(ledger.time_to_trial(kRequest, now + 1h).has_value());
  CHECK(ledger.retry_after(kRequest, now) == 10min);
}

TEST_CASE(
    "a request that callers no longer send expires and is returned for removal from the store") {
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

TEST_CASE("a full ledger keeps the requests with the most terminations") {
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

TEST_CASE("nodes that merge the same reports in any order and number hold the same state") {
  CHECK(rc::check("merging reports is commutative and idempotent", [] {
    // Three nodes observe terminations and answers. Their reports are merged once in order, and
    // once shuffled and each of them twice.
    std::vector<CrashLedger> observers(3);
    std::vector<CrashReport> reports;
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step != steps; ++step) {
      CrashLedger& ledger = observers[*rc::gen::inRange<std::size_t>(0, 3)];
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
          reports.push_back(*report);
        }
      }
    }
    CrashLedger one;
    CrashLedger other;
    for (const CrashReport& report : reports) {
      one.merge(report, at(100s));
    }
    std::vector<CrashReport> repeated = reports;
    repeated.insert(repeated.end(), reports.begin(), reports.end());
    const auto order = *rc::gen::container<std::vector<std::uint64_t>>(
        repeated.size(), rc::gen::arbitrary<std::uint64_t>());
    std::vector<std::size_t> indices(repeated.size());
    for (std::size_t i = 0; i != indices.size(); ++i) {
      indices[i] = i;
    }
    std::sort(indices.begin(), indices.end(),
              [&](std::size_t left, std::size_t right) { return order[left] < order[right]; });
    for (const std::size_t index : indices) {
      other.merge(repeated[index], at(200s));
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

TEST_CASE("an unknown termination counts as one and reduces the number of trials") {
  const BackendTermination unknown{.backend = kUnknownBackend, .observer = NodeId("n")};
  CrashLedger ledger = make_ledger(1);
  ledger.note_termination(kRequest, kService, unknown, at(100s));
  ledger.note_termination(kRequest, kService, unknown, at(100s));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kSuspected);
  CHECK(ledger.should_store(kRequest));
  ledger.note_termination(kRequest, kService, termination_of(1), at(101s));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kQuarantined);
  CHECK(ledger.time_to_trial(kRequest, at(111s)) == Duration::zero());
  // With two observed terminations and one trial, three sends may have followed the third
  // termination.
  ledger.note_trial(kRequest, 1, at(111s));
  CHECK_FALSE(ledger.time_to_trial(kRequest, at(1000s)));
}

TEST_CASE("one trial remains however many terminations are counted beside an unknown one") {
  CrashLedger ledger = make_ledger(5);
  ledger.note_termination(kRequest, kService, {.backend = kUnknownBackend, .observer = NodeId("n")},
                          at(100s));
  CHECK(ledger.time_to_trial(kRequest, at(110s)) == Duration::zero());
  ledger.note_trial(kRequest, 1, at(110s));
  CHECK_FALSE(ledger.time_to_trial(kRequest, at(1000s)));
}

TEST_CASE("an answer also excuses an unknown termination") {
  CrashLedger ledger = make_ledger(1);
  ledger.note_termination(kRequest, kService, {.backend = kUnknownBackend, .observer = NodeId("n")},
                          at(100s));
  CHECK(ledger.excuse(kRequest));
  CHECK(ledger.suspicion_level(kRequest) == SuspicionLevel::kNone);
}

namespace {

constexpr Request kPart{gateway::kPromptPartMark, 2};

/// Records terminations of `kPart` at one back end each second from `first` on.
void note_part_terminations(CrashLedger& ledger, int from, int to, Duration first) {
  for (int i = from; i != to; ++i) {
    ledger.note_termination(kPart, kService, termination_of(i), at(first + (i - from) * 1s));
  }
}

void attribute(CrashLedger& ledger, bool answered_lately = false) {
  ledger.attribute_parts([&](const Request&) { return answered_lately; });
}

}  // namespace

// Guards against a part that is held by its count alone.
TEST_CASE("a prompt part is quarantined once terminations are attributed to it") {
  CrashLedger ledger;
  note_part_terminations(ledger, 0, 3, 100s);
  CHECK(ledger.suspicion_level(kPart) == SuspicionLevel::kSuspected);
  attribute(ledger);
  CHECK(ledger.suspicion_level(kPart) == SuspicionLevel::kQuarantined);
  CHECK(ledger.time_to_trial(kPart, at(102s)) == 1s);
}

// Guards against streams that began before a part crashed anything and excuse its crashes.
TEST_CASE("an answer excuses a part only for back ends that terminated until then") {
  CrashLedger ledger;
  note_part_terminations(ledger, 0, 4, 100s);
  CHECK(ledger.excuse_until(kPart, at(101s)));
  CHECK(ledger.counted_terminations(kPart) == 2);
  CHECK_FALSE(ledger.excuse_until(kPart, at(101s)));
}

// Guards against a popular part that ran beside so many others that no further crash counts.
TEST_CASE("excused terminations make room for further ones") {
  CrashLedger ledger;
  note_part_terminations(ledger, 0, 16, 100s);
  CHECK_FALSE(ledger.note_termination(kPart, kService, termination_of(16), at(200s)));
  ledger.excuse_until(kPart, at(150s));
  note_part_terminations(ledger, 16, 32, 200s);
  CHECK(ledger.counted_terminations(kPart) == 16);
  CHECK_FALSE(ledger.terminated_backends().contains(backend(0)));
  attribute(ledger);
  CHECK(ledger.quarantined_parts() == std::set<Request>{kPart});
}

// Guards against invented parts that push out one that is proven.
TEST_CASE("a quarantined part stays in a ledger that is full of parts seen once") {
  CrashLedger ledger({.max_requests = 8});
  note_part_terminations(ledger, 0, 3, 100s);
  attribute(ledger);
  for (std::uint64_t i = 0; i != 100; ++i) {
    ledger.note_termination({gateway::kPromptPartMark, 100 + i}, kService, termination_of(50),
                            at(110s));
  }
  attribute(ledger);
  CHECK(ledger.suspicion_level(kPart) == SuspicionLevel::kQuarantined);
}
