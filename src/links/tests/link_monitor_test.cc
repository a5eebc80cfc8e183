// Guards against taking terminated back ends for a partition, a partition for terminated back ends,
// and links that stay unused when they are back.
#include "links/link_monitor.h"

#include <doctest/doctest.h>

#include <chrono>

#include "links_fixture.h"

using namespace ochrespring;
using namespace std::chrono_literals;
using links::testing::LinksFixture;

TEST_CASE("one unreachable back end is no partition") {
  LinksFixture f;
  f.unreachable = {f.address(0)};
  f.links.note_unreachable(f.address(0));
  CHECK(f.links.is_cut(f.address(0)));
  f.run(100ms);
  CHECK_FALSE(f.links.is_partitioned());
  CHECK(f.links.cut_count() == 1);
}

TEST_CASE("a node is partitioned once no back end of a survey can be reached") {
  LinksFixture f(30);
  f.cut_all();
  std::set<Endpoint> absolved;
  f.links.on_absolved([&](const Endpoint& backend) { absolved.insert(backend); });
  f.links.note_unreachable(f.address(0));
  f.run(LinksFixture::kProbeTime);
  CHECK(f.links.is_partitioned());
  CHECK(f.links.cut_count() == 30);
  CHECK(absolved.size() == 30);
  CHECK(f.probed.size() <= 8);
}

TEST_CASE("the links of a partitioned node are used within half a second of their return") {
  LinksFixture f(30);
  f.cut_all();
  f.links.note_unreachable(f.address(0));
  f.run(3s);
  REQUIRE(f.links.is_partitioned());
  f.unreachable.clear();
  f.run(500ms);
  CHECK_FALSE(f.links.is_partitioned());
  CHECK(f.links.cut_count() == 0);
}

TEST_CASE("links that were observed to be cut are used again only after a probe of their own") {
  LinksFixture f(30);
  f.cut_all();
  f.links.note_unreachable(f.address(0));
  f.run(100ms);
  f.unreachable = {f.address(0)};
  f.run(2s);
  CHECK_FALSE(f.links.is_partitioned());
  CHECK(f.links.is_cut(f.address(0)));
  CHECK(f.links.cut_count() == 1);
}

TEST_CASE("cut links of some back ends do not affect others") {
  LinksFixture f(10);
  f.unreachable = {f.address(0), f.address(1), f.address(2)};
  f.links.note_unreachable(f.address(0));
  f.run(100ms);
  CHECK_FALSE(f.links.is_partitioned());
  for (int i = 3; i != 10; ++i) {
    CHECK_FALSE(f.links.is_cut(f.address(i)));
  }
}

TEST_CASE("a back end that relays cannot reach either has no cut link, unless all links are") {
  LinksFixture f;
  f.unreachable = {f.address(0)};
  f.links.note_unreachable(f.address(0));
  f.links.note_unreachable_for_relay(f.address(0));
  CHECK_FALSE(f.links.is_cut(f.address(0)));
  f.cut_all();
  f.run(1s);
  f.links.note_unreachable(f.address(0));
  f.run(100ms);
  REQUIRE(f.links.is_partitioned());
  f.links.note_unreachable_for_relay(f.address(1));
  CHECK(f.links.is_cut(f.address(1)));
}

TEST_CASE("a node whose links were found to be cut one by one is partitioned") {
  LinksFixture f(3);
  f.unreachable = {f.address(0)};
  f.links.note_unreachable(f.address(0));
  f.run(100ms);
  REQUIRE(f.links.cut_count() == 1);
  f.cut_all();
  f.links.note_unreachable(f.address(1));
  CHECK_FALSE(f.links.is_partitioned());
  f.links.note_unreachable(f.address(2));
  CHECK(f.links.is_partitioned());
}

TEST_CASE("a check marks a link only if the probe fails, and is not repeated at once") {
  LinksFixture f;
  f.links.check(f.address(0));
  f.run(100ms);
  f.links.check(f.address(0));
  CHECK(f.probed.size() == 1);
  CHECK(f.links.cut_count() == 0);
  f.unreachable = {f.address(0)};
  f.run(500ms);
  f.links.check(f.address(0));
  f.run(100ms);
  CHECK(f.links.is_cut(f.address(0)));
}

TEST_CASE("an unreachable back end costs few probes") {
  LinksFixture f(30);
  f.unreachable = {f.address(0)};
  for (int i = 0; i != 100; ++i) {
    f.links.note_unreachable(f.address(0));
    f.run(100ms);
  }
  // In 10 s: 20 surveys of 8 back ends, and two recovery probes a second.
  CHECK(f.probed.size() <= 180);
}

TEST_CASE("a removed back end leaves no cut link, and a late probe result is ignored") {
  LinksFixture f(1);
  f.cut_all();
  f.links.check(f.address(0));
  f.run(100ms);
  REQUIRE(f.links.is_cut(f.address(0)));
  f.fleet.remove(gateway::BackendId("b0"));
  f.links.forget(f.address(0));
  CHECK(f.links.cut_count() == 0);
  f.run(5s);
  CHECK(f.time.pending() == 0);
}
