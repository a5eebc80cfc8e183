// Two lives of a store that gives the same numbers out are told apart by what stands there.
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

TEST_CASE("a change is the same one only with its key, its value and its number") {
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

TEST_CASE("the newest position is that of one change, not of several made at once") {
  CHECK_FALSE(newest_position({}));
  const Change first = change_at(7, "a", "1");
  const Change last = change_at(9, "b", "1");
  CHECK(newest_position({first, last}) == position_of(last));
  CHECK(newest_position({last, first}) == position_of(last));
  CHECK_FALSE(newest_position({first, last, change_at(9, "c", "1")}));
}

TEST_CASE("what stands at a number proves the same life, another one, or nothing") {
  const StorePosition position = position_of(change_at(7, "k", "v"));
  CHECK(check_position(position, {change_at(7, "k", "v"), change_at(8, "k", "w")}) ==
        PositionCheck::kSame);
  // Of a transaction that changed several keys at once.
  CHECK(check_position(position, {change_at(7, "a", "1"), change_at(7, "k", "v")}) ==
        PositionCheck::kSame);
  CHECK(check_position(position, {change_at(7, "k", "w")}) == PositionCheck::kDifferent);
  CHECK(check_position(position, {change_at(7, "k", std::nullopt)}) == PositionCheck::kDifferent);
  CHECK(check_position(position, {change_at(8, "k", "w")}) == PositionCheck::kUnknown);
  CHECK(check_position(position, {}) == PositionCheck::kUnknown);
}
