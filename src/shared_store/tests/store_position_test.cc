// Two eras in which the same revisions were assigned are distinguished by the changes at those
// revisions.
#include "shared_store/store_position.h"

#include <doctest/doctest.h>

#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::shared_store;

namespace {

Change change_at(std::uint64_t revision, const std::string& key, std::optional<std::string> value) {
  return {.key = key, .value = std::move(value), .revision = StoreRevision(revision)};
}

}  // namespace

TEST_CASE("positions are equal only if key, value and revision are equal") {
  const StorePosition position = position_of(change_at(7, "k", "v"));
  CHECK(position == position_of(change_at(7, "k", "v")));
  CHECK(position != position_of(change_at(8, "k", "v")));
  CHECK(position != position_of(change_at(7, "l", "v")));
  CHECK(position != position_of(change_at(7, "k", "w")));
  CHECK(position != position_of(change_at(7, "k", std::nullopt)));
  CHECK(position_of(change_at(7, "k", "")) != position_of(change_at(7, "k", std::nullopt)));
  CHECK(position.before() == StoreRevision(6));
  CHECK(wire::decode<StorePosition>(wire::encode(position)).value() == position);
}

TEST_CASE("no newest position is returned if several changes share the newest revision") {
  CHECK_FALSE(newest_position({}));
  const Change first = change_at(7, "a", "1");
  const Change last = change_at(9, "b", "1");
  CHECK(newest_position({first, last}) == position_of(last));
  CHECK(newest_position({last, first}) == position_of(last));
  CHECK_FALSE(newest_position({first, last, change_at(9, "c", "1")}));
}

TEST_CASE("the change at a revision shows the same era, a new one, or is inconclusive") {
  const StorePosition position = position_of(change_at(7, "k", "v"));
  CHECK(check_position(position, {change_at(7, "k", "v"), change_at(8, "k", "w")}) ==
        PositionCheck::kSame);
  // Part of a transaction that changed several keys at one revision.
  CHECK(check_position(position, {change_at(7, "a", "1"), change_at(7, "k", "v")}) ==
        PositionCheck::kSame);
  CHECK(check_position(position, {change_at(7, "k", "w")}) == PositionCheck::kDifferent);
  CHECK(check_position(position, {change_at(7, "k", std::nullopt)}) == PositionCheck::kDifferent);
  CHECK(check_position(position, {change_at(8, "k", "w")}) == PositionCheck::kUnknown);
  CHECK(check_position(position, {}) == PositionCheck::kUnknown);
}
