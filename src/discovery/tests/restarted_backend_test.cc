// A back end restarted under the same name is a different one, and an entry that cannot be parsed
// adds no back end and removes an existing one. Other back ends are unaffected.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "discovery/view_writer.h"
#include "simulation/virtual_time.h"
#include "tests/plain_codec.h"

using namespace ochrespring;
using namespace ochrespring::discovery;
using discovery::testing::PlainCodec;
using gateway::BackendId;
using shared_store::Change;
using shared_store::Changes;
using shared_store::Listing;
using shared_store::StoreEra;
using shared_store::StoreRevision;

namespace {

struct Node {
  Node() : nodes(time, {NodeId("me"), Endpoint(), ZoneName("a"), Endpoint()}) {
    fleet.on_removed([this](const gateway::Backend& backend) { removed.push_back(backend.id); });
  }

  void list(std::uint64_t revision, const std::vector<Change>& items, StoreEra era = {}) {
    writer.apply_listing(Listing{items, StoreRevision(revision, era)});
  }
  void change(const Change& change) { writer.apply_changes(Changes{{change}}); }
  std::vector<std::string> known() const {
    std::vector<std::string> ids;
    for (const auto& [id, backend] : fleet.backends()) {
      ids.push_back(id.value());
    }
    return ids;
  }

  simulation::VirtualTime time;
  PlainCodec codec;
  logging::NullLogger logger;
  gateway::FleetState fleet;
  NodeDirectory nodes;
  ViewWriter writer{time, codec, logger, fleet, nodes};
  std::vector<BackendId> removed;
};

Change entry(const std::string& name, std::optional<std::string> value, std::uint64_t revision) {
  return {"backends/" + name, std::move(value), StoreRevision(revision)};
}

using Ids = std::vector<std::string>;

}  // namespace

TEST_CASE(
    "a foreign entry that looks like an incarnation neither replaces nor removes the server") {
  for (const std::string foreign : {"i-0001@5", "i-0001@", "i-0001@5@"}) {
    for (const std::string value : {"ready", "ready@5", "draining@5", "broken"}) {
      Node node;
      node.list(3, {entry("i-0001", "ready@5", 1)});
      const BackendId server("i-0001@5");
      node.change(entry(foreign, value, 4));
      CHECK(node.fleet.find(server) != nullptr);
      CHECK_FALSE(node.fleet.is_leaving(*node.fleet.find(server)));
      node.list(5, {entry("i-0001", "ready@5", 1), entry(foreign, value, 4)});
      node.change(entry(foreign, std::nullopt, 6));
      CHECK(node.known() == Ids{"i-0001@5"});
      node.change(entry("i-0001", "ready@9", 7));
      CHECK(node.known() == Ids{"i-0001@9"});
    }
  }
}

TEST_CASE("a restarted back end replaces its previous incarnation, whatever its start time") {
  Node node;
  node.list(3, {entry("a", "draining@500", 1), entry("ab", "ready@7", 2)});
  node.change(entry("a", "ready@400", 4));
  CHECK(node.known() == Ids{"a@400", "ab@7"});
  CHECK(node.removed == std::vector{BackendId("a@500")});
  // The previous incarnation's leaving does not apply to this one.
  CHECK_FALSE(node.fleet.is_leaving(*node.fleet.find(BackendId("a@400"))));
  node.change(entry("a", std::nullopt, 5));
  CHECK(node.known() == Ids{"ab@7"});
}

TEST_CASE("a restart that was not seen as a change is detected by a listing") {
  Node node;
  node.list(3, {entry("a", "ready@500", 1)});
  node.list(9, {entry("a", "ready@600", 8)});
  CHECK(node.known() == Ids{"a@600"});
  CHECK(node.removed == std::vector{BackendId("a@500")});
}

TEST_CASE("nodes that receive updates know only the new incarnation, too") {
  Node poller;
  Node receiver;
  poller.list(3, {entry("a", "ready@500", 1)});
  receiver.list(3, {entry("a", "ready@500", 1)});
  poller.change(entry("a", "ready@600", 4));
  poller.fleet.note_current(poller.time.now());
  for (const ViewUpdate& update : poller.writer.make_updates({})) {
    CHECK(receiver.writer.apply_update(update) == UpdateOutcome::kApplied);
  }
  CHECK(receiver.known() == Ids{"a@600"});
}

TEST_CASE("an entry that cannot be parsed adds no back end and removes an existing one") {
  Node node;
  node.list(3, {entry("a", "ready", 1), entry("b", "broken", 2)});
  CHECK(node.known() == Ids{"a"});
  node.change(entry("a", "broken", 4));
  CHECK(node.known().empty());
  node.list(9, {entry("a", "broken", 4), entry("c", "ready", 8)});
  CHECK(node.known() == Ids{"c"});
  CHECK(node.writer.rejected_values() == 3);
  node.change(entry("a", "ready", 10));
  CHECK(node.known() == Ids{"a", "c"});
}

TEST_CASE("the content of one entry does not affect the other back ends") {
  CHECK(rc::check([](const std::string& name, const std::string& bytes) {
    Node node;
    const std::string value = bytes.find('@') == std::string::npos ? bytes : "broken";
    node.list(9, {entry("a", "ready", 1), entry("x" + name, value, 2), entry("z", "draining", 3)});
    RC_ASSERT(node.fleet.find(BackendId("a")) != nullptr);
    RC_ASSERT(node.fleet.find(BackendId("z"))->draining);
  }));
}
