// Guards against a store that was restored from an older copy and repeated only the newest change:
// the digest of a whole span reveals the lost changes before it.
#include "shared_store/history_span.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::shared_store;

namespace {

Change change_at(std::uint64_t revision, const std::string& key, std::optional<std::string> value) {
  return {.key = key, .value = std::move(value), .revision = StoreRevision(revision)};
}

const std::vector<Change> kChanges{change_at(6, "a", "1"), change_at(7, "b", "1"),
                                   change_at(9, "c", std::nullopt)};

}  // namespace

TEST_CASE("a span covers the changes after its start up to the newest one") {
  CHECK_FALSE(make_span(StoreRevision(5), {}));
  CHECK_FALSE(make_span(StoreRevision(9), kChanges));
  const auto span = make_span(StoreRevision(6), kChanges);
  REQUIRE(span);
  CHECK(span->after == StoreRevision(6));
  CHECK(span->through == StoreRevision(9));
  CHECK(span == make_span(StoreRevision(6), {kChanges[1], kChanges[2]}));
  CHECK(span != make_span(StoreRevision(5), kChanges));
  CHECK(wire::decode<HistorySpan>(wire::encode(*span)).value() == *span);
}

TEST_CASE("a lost or replaced change before the newest one reveals a new era") {
  const HistorySpan span = *make_span(StoreRevision(5), kChanges);
  CHECK(check_span(span, kChanges) == PositionCheck::kSame);
  CHECK(check_span(span, {change_at(4, "z", "1"), kChanges[0], kChanges[1], kChanges[2],
                          change_at(10, "z", "2")}) == PositionCheck::kSame);
  CHECK(check_span(span, {kChanges[0], change_at(7, "b", "2"), kChanges[2]}) ==
        PositionCheck::kDifferent);
  CHECK(check_span(span, {kChanges[0], kChanges[2]}) == PositionCheck::kDifferent);
  CHECK(check_span(span, {change_at(10, "z", "2")}) == PositionCheck::kDifferent);
}

TEST_CASE("changes that do not reach the end of the span are inconclusive") {
  const HistorySpan span = *make_span(StoreRevision(5), kChanges);
  CHECK(check_span(span, {}) == PositionCheck::kUnknown);
  CHECK(check_span(span, {kChanges[0], kChanges[1]}) == PositionCheck::kUnknown);
}

TEST_CASE("the digest does not depend on the order of changes") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& keys) {
    std::vector<Change> changes;
    for (const std::uint8_t key : keys) {
      changes.push_back(change_at(1 + key % 5U, std::to_string(key), "v"));
    }
    const auto span = make_span(StoreRevision(), changes);
    std::reverse(changes.begin(), changes.end());
    RC_ASSERT(make_span(StoreRevision(), changes) == span);
  }));
}
