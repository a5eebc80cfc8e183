// What nodes know of limits: by their own answers, and by news in any order.
#include "rate_limit/limit_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace ochrespring;
using namespace ochrespring::rate_limit;
using namespace std::chrono_literals;

namespace {

using Kind = gateway::RateStatement::Kind;

const gateway::BackendId kServer("s");

MonotonicTime at(Duration span) {
  return MonotonicTime() + span;
}

RateAnswer named(double per_second, Duration sent) {
  return {kServer,
          at(sent),
          {.kind = Kind::kLimited,
           .rate = {static_cast<std::uint64_t>(per_second * 1000)},
           .text = {}}};
}

RateAnswer unnamed(Duration sent) {
  return {kServer, at(sent), {}};
}

}  // namespace

TEST_CASE("a limit is heard once, and each change of it") {
  LimitTable table;
  CHECK_FALSE(table.note_answer(unnamed(0s), at(1s)));
  const auto first = table.note_answer(named(2, 1s), at(2s));
  REQUIRE(first);
  CHECK(first->version == 1);
  CHECK_FALSE(table.note_answer(named(2, 3s), at(4s)));
  const auto lower = table.note_answer(named(0.4, 3s), at(4s));
  REQUIRE(lower);
  CHECK(lower->version == 2);
  CHECK(table.limit_of(kServer)->thousandths == 400);
}

TEST_CASE(
    "an answer to a request from before a limit was heard neither ends it nor brings it back") {
  LimitTable table;
  table.note_answer(named(2, 1s), at(2s));
  CHECK_FALSE(table.note_answer(unnamed(1500ms), at(3s)));
  CHECK(table.limit_of(kServer));
  const auto end = table.note_answer(unnamed(2500ms), at(3s));
  REQUIRE(end);
  CHECK_FALSE(end->limited);
  CHECK_FALSE(table.limit_of(kServer));
  CHECK_FALSE(table.note_answer(named(2, 2900ms), at(4s)));
  CHECK(table.note_answer(named(2, 3500ms), at(4s)));
}

TEST_CASE("an answer whose limit cannot be read leaves a limit as it is") {
  LimitTable table;
  RateAnswer unreadable{kServer, at(5s), {Kind::kMalformed, {}, "1,3"}};
  CHECK_FALSE(table.note_answer(unreadable, at(6s)));
  CHECK_FALSE(table.limit_of(kServer));
  table.note_answer(named(2, 1s), at(2s));
  CHECK_FALSE(table.note_answer(unreadable, at(6s)));
  CHECK(table.limit_of(kServer));
}

TEST_CASE("news of a version that no node can have raised are left alone") {
  LimitTable table;
  CHECK_FALSE(table.take({kServer, true, {1000}, 0}, at(1s)));
  CHECK_FALSE(table.take({kServer, true, {1000}, ~std::uint64_t{0}}, at(1s)));
  CHECK(table.find(kServer) == nullptr);
}

TEST_CASE("a back end that is gone is forgotten") {
  LimitTable table;
  table.note_answer(named(2, 1s), at(2s));
  CHECK(table.limited_count() == 1);
  table.forget(kServer);
  CHECK(table.limited_count() == 0);
}

TEST_CASE("tables that took the same news know the same, whatever order, however often") {
  CHECK(rc::check([](const std::vector<std::tuple<bool, std::uint8_t, std::uint8_t>>& drawn,
                     const std::vector<std::uint8_t>& again) {
    std::vector<LimitNews> news;
    for (const auto& [limited, rate, version] : drawn) {
      news.push_back({kServer, limited, {limited ? rate % 4U : 0U}, 1U + version % 4U});
    }
    LimitTable forward;
    LimitTable backward;
    for (const LimitNews& told : news) {
      forward.take(told, at(1s));
    }
    for (auto told = news.rbegin(); told != news.rend(); ++told) {
      backward.take(*told, at(1s));
    }
    for (const std::uint8_t index : again) {
      if (index < news.size()) {
        backward.take(news[index], at(2s));
      }
    }
    RC_ASSERT((forward.find(kServer) == nullptr) == (backward.find(kServer) == nullptr));
    if (forward.find(kServer) != nullptr) {
      RC_ASSERT(forward.find(kServer)->says_same(*backward.find(kServer)));
      RC_ASSERT(forward.find(kServer)->version == backward.find(kServer)->version);
    }
  }));
}
