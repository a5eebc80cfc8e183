// Which place a look asks for, and when nothing tells whether the store is the same.
#include "discovery/life_check.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::discovery;
using namespace std::chrono_literals;
using shared_store::Change;
using shared_store::PositionCheck;
using shared_store::StoreEra;
using shared_store::StoreRevision;

namespace {

MonotonicTime at(Duration since_start) {
  return MonotonicTime(since_start);
}

Change change_at(std::uint64_t revision, const std::string& key) {
  return {.key = key, .value = "v", .revision = StoreRevision(revision)};
}

shared_store::StorePosition place(std::uint64_t revision) {
  return shared_store::position_of(change_at(revision, "k"));
}

}  // namespace

TEST_CASE("while looks are answered the newest place is asked for") {
  LifeCheck life;
  CHECK(life.place_to_ask(place(7), StoreEra()) == place(7));
  CHECK_FALSE(life.place_to_ask({}, StoreEra()));
  CHECK_FALSE(life.is_pending());
}

TEST_CASE("after a failed look the place of then is asked for, until a look is answered") {
  LifeCheck life;
  life.note_failed(at(1s), place(7));
  life.note_failed(at(2s), place(8));
  CHECK(life.place_to_ask(place(9), StoreEra()) == place(7));
  CHECK(life.check(place(7), {change_at(7, "k"), change_at(8, "x")}) == PositionCheck::kSame);
  CHECK_FALSE(life.is_pending());
  CHECK(life.place_to_ask(place(9), StoreEra()) == place(9));
}

TEST_CASE("a place of an era that has ended is not asked for") {
  LifeCheck life;
  life.note_failed(at(1s), place(7));
  CHECK_FALSE(life.place_to_ask({}, StoreEra(1)));
}

TEST_CASE(
    "an answer that does not tell leaves it open, a view known since to be current does not") {
  LifeCheck life;
  life.note_failed(at(1s), {});
  CHECK(life.check({}, {change_at(8, "x")}) == PositionCheck::kUnknown);
  CHECK(life.is_pending());
  life.note_current(at(1s));
  CHECK(life.is_pending());
  life.note_current(at(1100ms));
  CHECK_FALSE(life.is_pending());
}

TEST_CASE("where another node knows another change the own one is asked for") {
  LifeCheck life;
  life.note_failed(at(1s), place(7));
  life.note_conflict(at(2s), place(9));
  CHECK(life.place_to_ask(place(9), StoreEra()) == place(9));
  CHECK(life.check(place(9), {change_at(9, "x")}) == PositionCheck::kOther);
}
