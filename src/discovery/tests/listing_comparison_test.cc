// What a listing changes in an existing view, and what it must not undo.
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

TEST_CASE("differences found by a listing are applied by nodes that have seen as much") {
  WriterFixture lister;
  WriterFixture receiver;
  // The history is unavailable: a has been draining since 20, b was removed, d was added.
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

TEST_CASE("a configuration found by a listing is not broadcast and has to be fetched") {
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
  // A view is not sent before it is known at which time it was current.
  CHECK_FALSE(transfer);
  lister.fleet.note_current(lister.time.now());
  const auto current = lister.writer.make_transfer(receiver.writer.seen_revision());
  REQUIRE(current);
  CHECK(std::holds_alternative<ViewDelta>(*current));
  CHECK(receiver.writer.apply_transfer(*current) == UpdateOutcome::kApplied);
  CHECK(receiver.fleet.routes()->configuration().version.value() == 8);
  CHECK(receiver.writer.seen_revision() == StoreRevision(40));
}

TEST_CASE("a listing that began before other nodes' updates does not undo them") {
  WriterFixture fixture;
  CHECK(fixture.writer.apply_update(fixture.update(10, 20, {make_draining("a", 15)})) ==
        UpdateOutcome::kApplied);
  CHECK(fixture.writer.apply_update(fixture.update(
            20, 25, {BackendChange{StoreRevision(22), gateway::BackendId("c"), std::nullopt}})) ==
        UpdateOutcome::kApplied);
  // Listed as of 12: a is still ready and c still present; b was removed, which no node reported.
  CHECK(fixture.writer.apply_listing({{WriterFixture::item("backends/a", "ready", 5),
                                       WriterFixture::item("backends/c", "ready", 7)},
                                      StoreRevision(12)}));
  CHECK(fixture.draining("a"));
  CHECK_FALSE(fixture.knows("c"));
  CHECK_FALSE(fixture.knows("b"));
  CHECK(fixture.writer.seen_revision() == StoreRevision(25));
}

TEST_CASE("a listing older than the log is not applied") {
  WriterFixture fixture;
  CHECK_FALSE(fixture.writer.apply_listing({{}, StoreRevision(8)}));
  CHECK(fixture.knows("a"));
}

TEST_CASE("a change found by a later page of a listing is broadcast when a poll finds it again") {
  WriterFixture lister;
  // Both pages belong to a listing as of 40; b began to drain before the second page was read.
  CHECK(lister.writer.apply_listing(
      {{WriterFixture::item("config", "3", 4), WriterFixture::item("backends/a", "ready", 5),
        WriterFixture::item("backends/b", "draining", 45),
        WriterFixture::item("backends/c", "ready", 7)},
       StoreRevision(40)}));
  CHECK(lister.writer.seen_revision() == StoreRevision(40));
  (void)lister.writer.make_updates(5ms);
  WriterFixture receiver;
  // Another node has sent this one everything up to 42.
  CHECK(receiver.writer.apply_update(receiver.update(10, 42, {})) == UpdateOutcome::kApplied);
  lister.writer.apply_changes({{WriterFixture::item("backends/b", "draining", 45)}});
  CHECK(receiver.writer.apply_update(lister.writer.make_updates(5ms).back()) ==
        UpdateOutcome::kApplied);
  CHECK(receiver.draining("b"));
}

TEST_CASE(
    "a listing brings the lister and the receivers of its updates up to date after any changes") {
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
