// What lower, repeated and missing revisions mean within one store era and across two.
#include "shared_store/store_revision.h"

#include <doctest/doctest.h>

#include "shared_store/era_tracker.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::shared_store;

TEST_CASE("a revision of a later era is newer regardless of its number") {
  CHECK(StoreRevision(24) < StoreRevision(26));
  CHECK(StoreRevision(26) < StoreRevision(24, StoreEra(1)));
  CHECK(StoreRevision(26, StoreEra(1)) < StoreRevision(1, StoreEra(2)));
  CHECK(StoreRevision(26) != StoreRevision(26, StoreEra(1)));
  const StoreRevision revision(7, StoreEra(3));
  CHECK(revision.next() == StoreRevision(8, StoreEra(3)));
  CHECK(wire::decode<StoreRevision>(wire::encode(revision)).value() == revision);
}

TEST_CASE("the era named by the store is used") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 26}) == StoreEra(4));
  // Lower within its era: the answer was overtaken by another.
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 24}) == StoreEra(4));
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(5), .revision = 24}) == StoreEra(5));
  CHECK(eras.known() == StoreEra(5));
  CHECK(eras.names_era());
  // An intermediary dropped the era from the answer.
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 25}) == StoreEra(5));
  CHECK_FALSE(eras.names_era());
}

TEST_CASE("an answer without a later era belongs to the era in which its call was sent") {
  EraTracker eras;
  eras.observe_revision(StoreRevision(20, StoreEra(1)));
  const EraTracker::Snapshot at_send = eras.on_send();
  eras.observe_revision(StoreRevision(30, StoreEra(2)));
  CHECK(eras.on_answer(at_send, {.era = {}, .revision = 25}) == StoreEra(1));
  CHECK(eras.on_answer(at_send, {.era = StoreEra(1), .revision = 25}) == StoreEra(1));
  CHECK(eras.known() == StoreEra(2));
}

TEST_CASE("if the store names no era, a lower revision than known proves a new era") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 26}) == StoreEra());
  const EraTracker::Snapshot early = eras.on_send();
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 26}) == StoreEra());
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = {}}) == StoreEra());
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 24}) == StoreEra(1));
  // Another call in flight revealed the same era.
  CHECK(eras.on_answer(early, {.era = {}, .revision = 25}) == StoreEra(1));
  CHECK(eras.known() == StoreEra(1));
}

TEST_CASE("revisions seen by other nodes are taken into account") {
  EraTracker eras;
  eras.observe_revision(StoreRevision(40));
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 39}) == StoreEra(1));
  eras.observe_revision(StoreRevision(50));
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 45}) == StoreEra(1));
}

TEST_CASE("an era detected by its contents is counted once, however often it is detected") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 26}) == StoreEra());
  const EraTracker::Snapshot early = eras.on_send();
  eras.begin_era_after(StoreEra());
  eras.begin_era_after(StoreEra());  // Detected by two polls.
  CHECK(eras.known() == StoreEra(1));
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 24}) == StoreEra(1));
  CHECK(eras.on_answer(early, {.era = {}, .revision = 27}) == StoreEra());
}

TEST_CASE("an era detected by its contents stays ahead of the era that the store names") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 26}) == StoreEra(4));
  eras.begin_era_after(StoreEra(4));
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 28}) == StoreEra(5));
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(6), .revision = 3}) == StoreEra(6));
}
