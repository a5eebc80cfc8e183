// The position to verify by a poll, and when it is unknown whether the store is in the same era.
#include "discovery/era_check.h"

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

shared_store::StorePosition position_at(std::uint64_t revision) {
  return shared_store::position_of(change_at(revision, "k"));
}

}  // namespace

TEST_CASE("while polls are answered, the newest position is verified") {
  EraCheck era_check;
  CHECK(era_check.position_to_verify(position_at(7), StoreEra()) == position_at(7));
  CHECK_FALSE(era_check.position_to_verify({}, StoreEra()));
  CHECK_FALSE(era_check.is_pending());
}

TEST_CASE("after a failed poll, the position known then is verified until a poll is answered") {
  EraCheck era_check;
  era_check.note_failed(at(1s), position_at(7));
  era_check.note_failed(at(2s), position_at(8));
  CHECK(era_check.position_to_verify(position_at(9), StoreEra()) == position_at(7));
  CHECK(era_check.check(position_at(7), {change_at(7, "k"), change_at(8, "x")}) ==
        PositionCheck::kSame);
  CHECK_FALSE(era_check.is_pending());
  CHECK(era_check.position_to_verify(position_at(9), StoreEra()) == position_at(9));
}

TEST_CASE("a position of an era that has ended is not verified") {
  EraCheck era_check;
  era_check.note_failed(at(1s), position_at(7));
  CHECK_FALSE(era_check.position_to_verify({}, StoreEra(1)));
}

TEST_CASE("an inconclusive answer leaves the check pending until the view is known to be current") {
  EraCheck era_check;
  era_check.note_failed(at(1s), {});
  CHECK(era_check.check({}, {change_at(8, "x")}) == PositionCheck::kUnknown);
  CHECK(era_check.is_pending());
  era_check.note_current(at(1s));
  CHECK(era_check.is_pending());
  era_check.note_current(at(1100ms));
  CHECK_FALSE(era_check.is_pending());
}

TEST_CASE("if another node knows a different change, this node's own position is verified") {
  EraCheck era_check;
  era_check.note_failed(at(1s), position_at(7));
  era_check.note_conflict(at(2s), position_at(9));
  CHECK(era_check.position_to_verify(position_at(9), StoreEra()) == position_at(9));
  CHECK(era_check.check(position_at(9), {change_at(9, "x")}) == PositionCheck::kDifferent);
}
