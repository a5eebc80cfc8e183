// A poll after an outage requests enough history to detect lost changes, within limits.
#include "discovery/known_history.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::discovery;
using namespace std::chrono_literals;
using shared_store::Change;
using shared_store::HistorySpan;
using shared_store::StoreEra;
using shared_store::StoreRevision;

namespace {

MonotonicTime at(Duration since_start) {
  return MonotonicTime(since_start);
}

Change change_at(std::uint64_t revision, const std::string& value) {
  return {.key = "k", .value = value, .revision = StoreRevision(revision)};
}

HistorySpan span(std::uint64_t after, std::uint64_t through) {
  std::vector<Change> changes;
  for (std::uint64_t i = after + 1; i <= through; ++i) {
    changes.push_back(change_at(i, "v"));
  }
  return *shared_store::make_span(StoreRevision(after), changes);
}

}  // namespace

TEST_CASE("history begins at its oldest span, and a replaced change in any span is detected") {
  KnownHistory history;
  CHECK_FALSE(history.first_needed_revision());
  history.note(span(6, 7), at(1s));
  history.note(span(4, 6), at(2s));
  CHECK(history.first_needed_revision() == StoreRevision(4));
  CHECK_FALSE(history.contradicts(StoreRevision(4),
                                  {change_at(5, "v"), change_at(6, "v"), change_at(7, "v")}));
  CHECK(history.contradicts(StoreRevision(4),
                            {change_at(5, "w"), change_at(6, "v"), change_at(7, "v")}));
}

TEST_CASE("a span that begins before the poll is not compared") {
  KnownHistory history;
  history.note(span(4, 6), at(1s));
  CHECK_FALSE(history.contradicts(StoreRevision(5), {change_at(6, "v")}));
}

TEST_CASE("history is limited to what the store keeps and to the maximum size of an answer") {
  KnownHistory history;
  history.note(span(4, 6), at(1s));
  history.note(span(6, 8), at(10s));
  history.trim(at(17s), StoreRevision(8));
  CHECK(history.first_needed_revision() == StoreRevision(6));
  history.trim(at(17s), StoreRevision(5000));
  CHECK_FALSE(history.first_needed_revision());
  for (std::uint64_t i = 0; i != 1000; ++i) {
    history.note(span(i, i + 1), at(20s));
  }
  CHECK(history.first_needed_revision() == StoreRevision(936));
}

TEST_CASE("spans of another era and invalid spans are not compared") {
  KnownHistory history;
  history.note({.after = StoreRevision(9), .through = StoreRevision(9), .digest = 1}, at(1s));
  history.note({.after = StoreRevision(9), .through = StoreRevision(4), .digest = 1}, at(1s));
  history.note({.after = StoreRevision(9), .through = StoreRevision(4, StoreEra(1)), .digest = 1},
               at(1s));
  CHECK_FALSE(history.first_needed_revision());
  history.note({.after = StoreRevision(1, StoreEra(1)),
                .through = StoreRevision(3, StoreEra(1)),
                .digest = 1},
               at(1s));
  CHECK_FALSE(history.contradicts(StoreRevision(0), {change_at(5, "v")}));
  history.trim(at(1s), StoreRevision(5));
  CHECK_FALSE(history.first_needed_revision());
}
