// What a node believes of the fleet while the store is late, forgetful or out.
#include <doctest/doctest.h>

#include <chrono>

#include "discovery/fleet_watcher.h"
#include "discovery/node_registration.h"
#include "simulation/virtual_time.h"
#include "tests/plain_codec.h"
#include "tests/played_store.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::discovery;
using namespace std::chrono_literals;
using ochrespring::discovery::testing::PlainCodec;
using ochrespring::discovery::testing::PlayedStore;
using ochrespring::discovery::testing::take;
using shared_store::Change;
using shared_store::Changes;
using shared_store::LeaseId;
using shared_store::Listing;
using shared_store::StoreErrc;
using shared_store::StoreRevision;

namespace {

struct WatcherFixture {
  simulation::VirtualTime time;
  SeededRandom random{5};
  PlayedStore store;
  PlainCodec codec;
  logging::NullLogger logger;
  gateway::FleetState fleet;
  NodeDirectory nodes{
      time, {NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), Endpoint("127.0.0.1:9")}};
  FleetWatcher watcher{{time, time, random, store, codec, logger}, {}, fleet, nodes};

  void advance(Duration span) { time.run_until(time.now() + span); }
  void list(std::uint64_t revision, std::vector<Change> items) {
    take(store.lists)(Listing{std::move(items), StoreRevision(revision)});
  }
  void answer(std::vector<Change> changes) {
    take(store.changes_calls).done(Changes{std::move(changes)});
  }
  std::uint64_t version() const { return fleet.routes()->configuration().version.value(); }
};

Change make_change(std::string key, std::optional<std::string> value, std::uint64_t revision) {
  return {std::move(key), std::move(value), StoreRevision(revision)};
}

auto gone() {
  return fail(StoreErrc::kHistoryGone, "gone");
}

}  // namespace

TEST_CASE("a listing and then changes keep the view up to date") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 4), make_change("backends/b", "ready", 9)});
  CHECK(world.version() == 3);
  world.advance(2s);
  REQUIRE(world.store.changes_calls.size() == 1);
  CHECK(world.store.changes_calls[0].after == StoreRevision(10));
  world.answer({make_change("backends/b", "draining", 11), make_change("config", "5", 12)});
  CHECK(world.fleet.find(gateway::BackendId("b"))->draining);
  CHECK(world.version() == 5);
  world.advance(2s);
  // The change at 12 is asked for, too: it tells whether the store is the one that was known.
  CHECK(world.store.changes_calls[0].after == StoreRevision(11));
  world.answer({make_change("config", "5", 12), make_change("backends/b", std::nullopt, 13)});
  CHECK(world.fleet.find(gateway::BackendId("b")) == nullptr);
}

TEST_CASE("an answer without changes does not move the point to go on from") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {});
  world.advance(2s);
  world.answer({});
  world.advance(2s);
  CHECK(world.store.changes_calls[0].after == StoreRevision(10));
}

TEST_CASE("a history that is gone is listed anew at once, and what left meanwhile is forgotten") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("backends/b", "ready", 9), make_change("config", "3", 4)});
  world.advance(2s);
  take(world.store.changes_calls).done(gone());
  REQUIRE(world.store.lists.size() == 1);
  world.list(50, {make_change("backends/c", "ready", 40), make_change("config", "4", 45)});
  CHECK(world.fleet.find(gateway::BackendId("b")) == nullptr);
  CHECK(world.fleet.find(gateway::BackendId("c")) != nullptr);
  CHECK(world.version() == 4);
}

TEST_CASE("while the store is out the last view stays, and the store is asked again soon") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 4)});
  world.advance(2s);
  take(world.store.changes_calls).done(fail(StoreErrc::kUnknownEffect, "silent"));
  CHECK(world.version() == 3);
  world.advance(400ms);
  CHECK(world.store.changes_calls.size() == 1);
}

TEST_CASE("a configuration that cannot be understood keeps the last good one, and is counted") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 4)});
  world.advance(2s);
  world.answer({make_change("config", "broken", 11)});
  CHECK(world.version() == 3);
  CHECK(world.watcher.rejected_values() == 1);
}

TEST_CASE("while the store does not answer, a refresh costs no look of its own") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 4)});
  world.advance(500ms);
  world.watcher.refresh([](bool) {});
  take(world.store.changes_calls).done(fail(StoreErrc::kNotDone, "down"));
  for (int i = 0; i != 20; ++i) {
    std::optional<bool> current;
    world.watcher.refresh([&](bool outcome) { current = outcome; });
    CHECK(current == false);
  }
  CHECK(world.store.changes_calls.empty());
  for (int i = 0; i != 60 && world.store.changes_calls.empty(); ++i) {
    world.advance(10ms);
  }
  REQUIRE(world.store.changes_calls.size() == 1);
  // The look that is under way anyway may tell.
  std::optional<bool> current;
  world.watcher.refresh([&](bool outcome) { current = outcome; });
  CHECK_FALSE(current);
  // Nothing tells that the store which was out is the same: it is listed.
  world.answer({});
  CHECK_FALSE(current);
  world.list(10, {make_change("config", "3", 4)});
  CHECK(current == true);
}

TEST_CASE("a refresh asks the store at once, and tells when it does not answer") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 4)});
  world.advance(500ms);
  std::optional<bool> current;
  world.watcher.refresh([&](bool outcome) { current = outcome; });
  REQUIRE(world.store.changes_calls.size() == 1);
  CHECK_FALSE(current);
  world.answer({});
  CHECK(current == true);
  current.reset();
  world.watcher.refresh([&](bool outcome) { current = outcome; });
  CHECK(current == true);
  world.advance(500ms);
  world.watcher.refresh([&](bool outcome) { current = outcome; });
  take(world.store.changes_calls).done(fail(StoreErrc::kNotDone, "down"));
  CHECK(current == false);
}

TEST_CASE("nodes come and go with their registration; this one is named until it leaves") {
  WatcherFixture world;
  world.watcher.start();
  const NodeRecord other{NodeId("other"), Endpoint("2.2.2.2:2"), ZoneName("b"),
                         Endpoint("127.0.0.1:9")};
  world.list(10, {make_change("nodes/other", wire::encode(other), 9)});
  CHECK(world.nodes.count() == 2);
  CHECK(world.nodes.list().size() == 2);
  world.advance(2s);
  world.answer({make_change("nodes/other", std::nullopt, 11)});
  CHECK(world.nodes.list().size() == 1);
  world.nodes.leave();
  CHECK(world.nodes.list().empty());
}

// Found by reading, for the fuzzing target of entries: whoever wrote such an entry took the node's
// place, and its end left a record that nobody had written under the node's name.
TEST_CASE("an entry that names another node than its key is nobody's registration") {
  WatcherFixture world;
  world.watcher.start();
  const NodeRecord other{NodeId("other"), Endpoint("2.2.2.2:2"), ZoneName("b"),
                         Endpoint("127.0.0.1:9")};
  NodeRecord forged = other;
  forged.address = Endpoint("6.6.6.6:6");
  world.list(10, {make_change("nodes/forged", wire::encode(forged), 8),
                  make_change("nodes/other", wire::encode(other), 9)});
  world.advance(2s);
  world.answer({make_change("nodes/forged", wire::encode(forged), 11)});
  REQUIRE(world.nodes.others().contains(other.node));
  CHECK(world.nodes.others().at(other.node).address == other.address);
  CHECK(world.watcher.rejected_values() == 2);
}

TEST_CASE("shares of what all nodes draw on err low while registrations come and go") {
  simulation::VirtualTime time;
  NodeDirectory nodes(time, {NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), Endpoint()});
  CHECK(nodes.cautious_count() == 8);
  time.run_until(time.now() + 11s);
  CHECK(nodes.cautious_count() == 1);
  std::vector<NodeRecord> records;
  for (int i = 0; i != 6; ++i) {
    records.push_back(
        {NodeId("n" + std::to_string(i)), Endpoint("1.1.1.1:2"), ZoneName("a"), Endpoint()});
  }
  nodes.replace(records);
  CHECK(nodes.cautious_count() == 7);
  nodes.replace({});
  nodes.remove(NodeId("n0"));
  CHECK(nodes.count() == 1);
  CHECK(nodes.cautious_count() == 7);
  nodes.put(records[0]);
  CHECK(nodes.cautious_count() == 7);
  time.run_until(time.now() + 16s);
  CHECK(nodes.cautious_count() == 2);
}

namespace {

struct RegistrationFixture {
  simulation::VirtualTime time;
  PlayedStore store;
  logging::NullLogger logger;
  SeededRandom random{3};
  NodeRegistration registration{
      time,         store,
      logger,       random,
      {"nodes/me"}, {NodeId("me"), Endpoint("1.1.1.1:1"), ZoneName("a"), Endpoint("127.0.0.1:9")}};

  void advance(Duration span) { time.run_until(time.now() + span); }
  void register_node() {
    registration.start();
    take(store.grants)(LeaseId(7));
    take(store.puts).done(StoreRevision(3));
  }
};

}  // namespace

TEST_CASE("a node registers under a lease, renews it, and ends it when it leaves") {
  RegistrationFixture world;
  world.register_node();
  world.advance(1100ms);
  REQUIRE(world.store.renewals.size() == 1);
  take(world.store.renewals)(LeaseId(7));
  world.registration.leave();
  CHECK(world.store.ended.front() == LeaseId(7));
  world.advance(10s);
  CHECK(world.store.renewals.empty());
}

TEST_CASE("a node that leaves ends its lease once the store answers") {
  RegistrationFixture world;
  world.register_node();
  world.store.answers_ends = false;
  world.registration.leave();
  world.advance(3s);
  CHECK(world.store.ended.size() > 3);
  world.store.answers_ends = true;
  world.advance(1s);
  const std::size_t tries = world.store.ended.size();
  world.advance(10s);
  CHECK(world.store.ended.size() == tries);
  CHECK(world.store.renewals.empty());
}

TEST_CASE("a lease that is over is replaced, and the record written again") {
  RegistrationFixture world;
  world.register_node();
  world.advance(1100ms);
  take(world.store.renewals)(fail(StoreErrc::kNotFound, "over"));
  REQUIRE(world.store.grants.size() == 1);
  take(world.store.grants)(LeaseId(8));
  CHECK(world.store.puts.size() == 1);
}

TEST_CASE("a node registers anew, under a new lease, when the store has come back older") {
  RegistrationFixture world;
  world.register_node();
  world.registration.rewrite();
  world.advance(1000ms);
  REQUIRE(world.store.grants.size() == 1);
  CHECK(world.store.renewals.empty());
  take(world.store.grants)(LeaseId(7));
  take(world.store.puts).done(StoreRevision(2, shared_store::StoreEra(1)));
  CHECK(world.registration.registered() == StoreRevision(2, shared_store::StoreEra(1)));
}

TEST_CASE("a store that comes back while a renewal is under way is registered with after it") {
  RegistrationFixture world;
  world.register_node();
  world.advance(1100ms);
  REQUIRE(world.store.renewals.size() == 1);
  world.registration.rewrite();
  take(world.store.renewals)(LeaseId(7));
  world.advance(1100ms);
  CHECK(world.store.grants.size() == 1);
}

TEST_CASE("a renewal without an answer is tried again under the same lease") {
  RegistrationFixture world;
  world.register_node();
  world.advance(1100ms);
  take(world.store.renewals)(fail(StoreErrc::kUnknownEffect, "lost"));
  world.advance(500ms);
  CHECK(world.store.renewals.size() == 1);
  CHECK(world.store.grants.empty());
}

TEST_CASE("calls that fail in a row come ever more seldom, and a success forgets them") {
  RegistrationFixture world;
  world.registration.start();
  int calls = 0;
  const MonotonicTime outage_ends = world.time.now() + 16s;
  while (world.time.now() < outage_ends) {
    if (!world.store.grants.empty()) {
      ++calls;
      take(world.store.grants)(fail(StoreErrc::kNotDone, "busy"));
    }
    world.advance(10ms);
  }
  // 40 with 400 ms between them.
  CHECK(calls <= 13);
  CHECK(calls >= 10);
  world.advance(1700ms);
  take(world.store.grants)(LeaseId(7));
  take(world.store.puts).done(StoreRevision(3));
  world.advance(1100ms);
  take(world.store.renewals)(fail(StoreErrc::kNotDone, "busy"));
  world.advance(410ms);
  CHECK(world.store.renewals.size() == 1);
}

TEST_CASE("a node that leaves while its lease is being granted gives it back") {
  RegistrationFixture world;
  world.registration.start();
  world.registration.leave();
  take(world.store.grants)(LeaseId(9));
  CHECK(world.store.ended.front() == LeaseId(9));
  CHECK(world.store.puts.empty());
}

TEST_CASE("a store that names its life with each answer is not listed for having been out") {
  WatcherFixture world;
  world.store.names_its_era = true;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 4)});
  world.advance(2s);
  take(world.store.changes_calls).done(fail(StoreErrc::kNotDone, "down"));
  world.advance(1s);
  REQUIRE(world.store.changes_calls.size() == 1);
  world.answer({make_change("config", "4", 11)});
  CHECK(world.store.lists.empty());
  CHECK(world.version() == 4);
}

TEST_CASE("a look that meets another change than was known lists the store, with what it missed") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 4), make_change("backends/b", "ready", 10)});
  world.advance(2s);
  CHECK(world.store.changes_calls[0].after == StoreRevision(9));
  world.answer({make_change("other", "x", 10), make_change("other", "y", 11)});
  REQUIRE(world.store.lists.size() == 1);
  world.list(11, {make_change("config", "3", 4), make_change("backends/b", "draining", 9),
                  make_change("other", "y", 11)});
  CHECK(world.fleet.find(gateway::BackendId("b"))->draining);
  CHECK(world.watcher.statistics().lives_found == 1);
}

TEST_CASE("a place that the store has forgotten is not asked for again and again") {
  WatcherFixture world;
  world.watcher.start();
  world.list(10, {make_change("config", "3", 10)});
  world.advance(2s);
  take(world.store.changes_calls).done(gone());
  REQUIRE(world.store.changes_calls.size() == 1);
  CHECK(world.store.changes_calls[0].after == StoreRevision(10));
  world.answer({});
  world.advance(2s);
  REQUIRE(world.store.changes_calls.size() == 1);
  CHECK(world.store.changes_calls[0].after == StoreRevision(10));
  CHECK(world.store.lists.empty());
}
