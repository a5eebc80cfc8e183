// What a listing adds to a view that exists, and what it must not take away.
#include "discovery/listing_comparison.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "discovery/view_writer.h"
#include "logging/logger.h"
#include "simulation/virtual_time.h"
#include "tests/plain_codec.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::discovery;
using namespace std::chrono_literals;
using shared_store::Change;
using shared_store::Listing;
using shared_store::StoreRevision;

namespace {

struct WriterFixture {
  WriterFixture() {
    writer.apply_listing({{item("config", "3", 4), item("backends/a", "ready", 5),
                           item("backends/b", "ready", 6), item("backends/c", "ready", 7)},
                          StoreRevision(10)});
  }
  static Change item(std::string key, std::string value, std::uint64_t revision) {
    return {std::move(key), std::move(value), StoreRevision(revision)};
  }
  ViewUpdate update(std::uint64_t after, std::uint64_t through, std::vector<ViewChange> changes) {
    return {.after = StoreRevision(after),
            .through = StoreRevision(through),
            .age = {},
            .fingerprint = std::nullopt,
            .view_address = {},
            .changes = std::move(changes)};
  }
  bool knows(const std::string& id) const { return fleet.find(gateway::BackendId(id)) != nullptr; }
  bool draining(const std::string& id) const {
    return fleet.find(gateway::BackendId(id))->draining;
  }

  simulation::VirtualTime time;
  testing::PlainCodec codec;
  logging::NullLogger logger;
  gateway::FleetState fleet;
  NodeDirectory nodes{time, {NodeId("me"), Endpoint(), ZoneName("a"), Endpoint()}};
  ViewWriter writer{time, codec, logger, fleet, nodes};
};

BackendChange make_draining(const std::string& id, std::uint64_t revision) {
  gateway::Backend backend;
  backend.id = gateway::BackendId(id);
  backend.draining = true;
  return {StoreRevision(revision), backend.id, backend};
}

}  // namespace

TEST_CASE("what a listing shows to have changed is received to those who have seen as much") {
  WriterFixture lister;
  WriterFixture receiver;
  // The history is gone: a drains since 20, b has gone, d has come.
  const Listing listing{
      {WriterFixture::item("config", "3", 4), WriterFixture::item("backends/a", "draining", 20),
       WriterFixture::item("backends/c", "ready", 39),
       WriterFixture::item("backends/d", "ready", 30)},
      StoreRevision(40)};
  CHECK(lister.writer.apply_listing(listing));
  CHECK(lister.draining("a"));
  CHECK_FALSE(lister.knows("b"));
  const std::vector<ViewUpdate> updates = lister.writer.make_updates(5ms);
  REQUIRE(updates.size() == 1);
  CHECK(updates[0].after <= StoreRevision(10));
  CHECK(updates[0].changes.size() == 3);
  CHECK(receiver.writer.apply_update(updates[0]) == UpdateOutcome::kApplied);
  CHECK(receiver.writer.seen_revision() == StoreRevision(40));
  CHECK(receiver.draining("a"));
  CHECK_FALSE(receiver.knows("b"));
  CHECK(receiver.knows("d"));
}

TEST_CASE("a configuration in a listing is not received, and who has not seen it has to fetch") {
  WriterFixture lister;
  WriterFixture receiver;
  CHECK(lister.writer.apply_listing(
      {{WriterFixture::item("config", "8", 33), WriterFixture::item("backends/a", "ready", 5),
        WriterFixture::item("backends/b", "ready", 6),
        WriterFixture::item("backends/c", "ready", 7)},
       StoreRevision(40)}));
  CHECK(receiver.writer.apply_update(lister.writer.make_updates(5ms).at(0)) ==
        UpdateOutcome::kSkipped);
  const auto transfer = lister.writer.make_transfer(receiver.writer.seen_revision());
  // Without the time as of which it is current a view is not handed on.
  CHECK_FALSE(transfer);
  lister.fleet.note_current(lister.time.now());
  const auto current = lister.writer.make_transfer(receiver.writer.seen_revision());
  REQUIRE(current);
  CHECK(std::holds_alternative<ViewDelta>(*current));
  CHECK(receiver.writer.apply_transfer(*current) == UpdateOutcome::kApplied);
  CHECK(receiver.fleet.routes()->configuration().version.value() == 8);
  CHECK(receiver.writer.seen_revision() == StoreRevision(40));
}

TEST_CASE("a listing that began before other nodes' news does not undo them") {
  WriterFixture fixture;
  CHECK(fixture.writer.apply_update(fixture.update(10, 20, {make_draining("a", 15)})) ==
        UpdateOutcome::kApplied);
  CHECK(fixture.writer.apply_update(fixture.update(
            20, 25, {BackendChange{StoreRevision(22), gateway::BackendId("c"), std::nullopt}})) ==
        UpdateOutcome::kApplied);
  // Listed as of 12: a still ready, c still there; b has gone, which nobody received.
  CHECK(fixture.writer.apply_listing({{WriterFixture::item("backends/a", "ready", 5),
                                       WriterFixture::item("backends/c", "ready", 7)},
                                      StoreRevision(12)}));
  CHECK(fixture.draining("a"));
  CHECK_FALSE(fixture.knows("c"));
  CHECK_FALSE(fixture.knows("b"));
  CHECK(fixture.writer.seen_revision() == StoreRevision(25));
}

TEST_CASE("a listing from before all that is remembered is of no use") {
  WriterFixture fixture;
  CHECK_FALSE(fixture.writer.apply_listing({{}, StoreRevision(8)}));
  CHECK(fixture.knows("a"));
}

TEST_CASE(
    "a later page that is newer than the listing is received on when its change comes again") {
  WriterFixture lister;
  // Both pages are of one listing as of 40; by the second one b had begun to drain.
  CHECK(lister.writer.apply_listing(
      {{WriterFixture::item("config", "3", 4), WriterFixture::item("backends/a", "ready", 5),
        WriterFixture::item("backends/b", "draining", 45),
        WriterFixture::item("backends/c", "ready", 7)},
       StoreRevision(40)}));
  CHECK(lister.writer.seen_revision() == StoreRevision(40));
  (void)lister.writer.make_updates(5ms);
  WriterFixture receiver;
  // Another node received this one of everything up to 42.
  CHECK(receiver.writer.apply_update(receiver.update(10, 42, {})) == UpdateOutcome::kApplied);
  lister.writer.apply_changes({{WriterFixture::item("backends/b", "draining", 45)}});
  CHECK(receiver.writer.apply_update(lister.writer.make_updates(5ms).back()) ==
        UpdateOutcome::kApplied);
  CHECK(receiver.draining("b"));
}

TEST_CASE(
    "whatever changed while nobody could tell, a listing brings the lister and its hearers up") {
  CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
    WriterFixture lister;
    WriterFixture receiver;
    std::map<std::string, std::pair<std::string, std::uint64_t>> store{
        {"config", {"3", 4}},
        {"backends/a", {"ready", 5}},
        {"backends/b", {"ready", 6}},
        {"backends/c", {"ready", 7}}};
    std::uint64_t revision = 10;
    for (const auto& [what, which] : steps) {
      const std::string key = std::string("backends/") + static_cast<char>('a' + which % 5);
      ++revision;
      if (what % 3 == 0) {
        store.erase(key);
      } else {
        store[key] = {what % 3 == 1 ? "ready" : "draining", revision};
      }
    }
    Listing listing;
    listing.revision = StoreRevision(revision);
    for (const auto& [key, entry] : store) {
      listing.items.push_back(WriterFixture::item(key, entry.first, entry.second));
    }
    RC_ASSERT(lister.writer.apply_listing(listing));
    for (const ViewUpdate& update : lister.writer.make_updates(0ms)) {
      RC_ASSERT(receiver.writer.apply_update(update) == UpdateOutcome::kApplied);
    }
    RC_ASSERT(lister.fleet.backends() == receiver.fleet.backends());
    RC_ASSERT(lister.fleet.backends().size() == store.size() - 1);
  }));
}
