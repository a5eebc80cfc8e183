// Limits learned from answers and from reports in any order.
#include "rate_limit/limit_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace ochrespring;
using namespace ochrespring::rate_limit;
using namespace std::chrono_literals;

namespace {

using Kind = gateway::RateStatement::Kind;

const gateway::BackendId kBackend("s");

MonotonicTime at(Duration span) {
  return MonotonicTime() + span;
}

RateAnswer limited_answer(double per_second, Duration sent) {
  return {kBackend,
          at(sent),
          {.kind = Kind::kLimited,
           .rate = {static_cast<std::uint64_t>(per_second * 1000)},
           .text = {}}};
}

RateAnswer unlimited_answer(Duration sent) {
  return {kBackend, at(sent), {}};
}

}  // namespace

TEST_CASE("a limit is reported once, and again after each change") {
  LimitTable table;
  CHECK_FALSE(table.note_answer(unlimited_answer(0s), at(1s)));
  const auto first = table.note_answer(limited_answer(2, 1s), at(2s));
  REQUIRE(first);
  CHECK(first->version == 1);
  CHECK_FALSE(table.note_answer(limited_answer(2, 3s), at(4s)));
  const auto lower = table.note_answer(limited_answer(0.4, 3s), at(4s));
  REQUIRE(lower);
  CHECK(lower->version == 2);
  CHECK(table.limit_of(kBackend)->thousandths == 400);
}

TEST_CASE("an answer to a request sent before the limit was learned neither ends nor restores it") {
  LimitTable table;
  table.note_answer(limited_answer(2, 1s), at(2s));
  CHECK_FALSE(table.note_answer(unlimited_answer(1500ms), at(3s)));
  CHECK(table.limit_of(kBackend));
  const auto end = table.note_answer(unlimited_answer(2500ms), at(3s));
  REQUIRE(end);
  CHECK_FALSE(end->limited);
  CHECK_FALSE(table.limit_of(kBackend));
  CHECK_FALSE(table.note_answer(limited_answer(2, 2900ms), at(4s)));
  CHECK(table.note_answer(limited_answer(2, 3500ms), at(4s)));
}

TEST_CASE("an answer with a malformed limit does not change the limit") {
  LimitTable table;
  RateAnswer unreadable{kBackend, at(5s), {Kind::kMalformed, {}, "1,3"}};
  CHECK_FALSE(table.note_answer(unreadable, at(6s)));
  CHECK_FALSE(table.limit_of(kBackend));
  table.note_answer(limited_answer(2, 1s), at(2s));
  CHECK_FALSE(table.note_answer(unreadable, at(6s)));
  CHECK(table.limit_of(kBackend));
}

TEST_CASE("reports with an invalid version are ignored") {
  LimitTable table;
  CHECK_FALSE(table.merge({kBackend, true, {1000}, 0}, at(1s)));
  CHECK_FALSE(table.merge({kBackend, true, {1000}, ~std::uint64_t{0}}, at(1s)));
  CHECK(table.find(kBackend) == nullptr);
}

TEST_CASE("a removed back end has no limit") {
  LimitTable table;
  table.note_answer(limited_answer(2, 1s), at(2s));
  CHECK(table.limited_count() == 1);
  table.forget(kBackend);
  CHECK(table.limited_count() == 0);
}

TEST_CASE("tables that merge the same reports agree, regardless of order and repetition") {
  CHECK(rc::check([](const std::vector<std::tuple<bool, std::uint8_t, std::uint8_t>>& drawn,
                     const std::vector<std::uint8_t>& again) {
    std::vector<LimitReport> reports;
    for (const auto& [limited, rate, version] : drawn) {
      reports.push_back({kBackend, limited, {limited ? rate % 4U : 0U}, 1U + version % 4U});
    }
    LimitTable forward;
    LimitTable backward;
    for (const LimitReport& report : reports) {
      forward.merge(report, at(1s));
    }
    for (auto report = reports.rbegin(); report != reports.rend(); ++report) {
      backward.merge(*report, at(1s));
    }
    for (const std::uint8_t index : again) {
      if (index < reports.size()) {
        backward.merge(reports[index], at(2s));
      }
    }
    RC_ASSERT((forward.find(kBackend) == nullptr) == (backward.find(kBackend) == nullptr));
    if (forward.find(kBackend) != nullptr) {
      RC_ASSERT(forward.find(kBackend)->same_limit_as(*backward.find(kBackend)));
      RC_ASSERT(forward.find(kBackend)->version == backward.find(kBackend)->version);
    }
  }));
}
