// What a lower, a repeated and a missing number of the store says, within a life of the store and
// across two.
#include "shared_store/store_revision.h"

#include <doctest/doctest.h>

#include "shared_store/era_tracker.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::shared_store;

TEST_CASE("a revision of a later life is newer, whatever its number") {
  CHECK(StoreRevision(24) < StoreRevision(26));
  CHECK(StoreRevision(26) < StoreRevision(24, StoreEra(1)));
  CHECK(StoreRevision(26, StoreEra(1)) < StoreRevision(1, StoreEra(2)));
  CHECK(StoreRevision(26) != StoreRevision(26, StoreEra(1)));
  const StoreRevision revision(7, StoreEra(3));
  CHECK(revision.next() == StoreRevision(8, StoreEra(3)));
  CHECK(wire::decode<StoreRevision>(wire::encode(revision)).value() == revision);
}

TEST_CASE("a store that names its era is taken at its word") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 26}) == StoreEra(4));
  // Lower within its life: an answer that was overtaken.
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 24}) == StoreEra(4));
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(5), .revision = 24}) == StoreEra(5));
  CHECK(eras.known() == StoreEra(5));
  CHECK(eras.names_era());
  // Something in between left the name out.
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 25}) == StoreEra(5));
  CHECK_FALSE(eras.names_era());
}

TEST_CASE("an answer to a call that left in a life before is of that life, unless it says more") {
  EraTracker eras;
  eras.observe_revision(StoreRevision(20, StoreEra(1)));
  const EraTracker::Snapshot sent = eras.on_send();
  eras.observe_revision(StoreRevision(30, StoreEra(2)));
  CHECK(eras.on_answer(sent, {.era = {}, .revision = 25}) == StoreEra(1));
  CHECK(eras.on_answer(sent, {.era = StoreEra(1), .revision = 25}) == StoreEra(1));
  CHECK(eras.known() == StoreEra(2));
}

TEST_CASE("where the store names no era, a lower revision than was known proves a new life") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 26}) == StoreEra());
  const EraTracker::Snapshot early = eras.on_send();
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 26}) == StoreEra());
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = {}}) == StoreEra());
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 24}) == StoreEra(1));
  // The same life shown by another call that was under way.
  CHECK(eras.on_answer(early, {.era = {}, .revision = 25}) == StoreEra(1));
  CHECK(eras.known() == StoreEra(1));
}

TEST_CASE("what other nodes have seen is known, too") {
  EraTracker eras;
  eras.observe_revision(StoreRevision(40));
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 39}) == StoreEra(1));
  eras.observe_revision(StoreRevision(50));
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 45}) == StoreEra(1));
}

TEST_CASE("a life that its contents have shown is the next one, for whoever finds it first") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 26}) == StoreEra());
  const EraTracker::Snapshot early = eras.on_send();
  eras.begin_era_after(StoreEra());
  eras.begin_era_after(StoreEra());  // Found by two looks.
  CHECK(eras.known() == StoreEra(1));
  CHECK(eras.on_answer(eras.on_send(), {.era = {}, .revision = 24}) == StoreEra(1));
  CHECK(eras.on_answer(early, {.era = {}, .revision = 27}) == StoreEra());
}

TEST_CASE("a life found by its contents stays ahead of the name that the store goes on giving") {
  EraTracker eras;
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 26}) == StoreEra(4));
  eras.begin_era_after(StoreEra(4));
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(4), .revision = 28}) == StoreEra(5));
  CHECK(eras.on_answer(eras.on_send(), {.era = StoreEra(6), .revision = 3}) == StoreEra(6));
}
