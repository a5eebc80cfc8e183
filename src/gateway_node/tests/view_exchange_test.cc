// Transfer of views from node to node over loopback.
#include "gateway_node/view_exchange.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "wire/codec.h"
#include "wire/compression.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;

namespace {

discovery::ViewSnapshot make_view() {
  discovery::ViewSnapshot view;
  view.through = shared_store::StoreRevision(12);
  view.configuration = std::string(200'000, 'c');
  view.backends.resize(90);
  return view;
}

struct ViewExchangeFixture {
  operator ViewExchange::Dependencies() { return {loop, client, clock, random}; }

  http::EventLoop loop;
  http::Client client{loop};
  SystemClock clock;
  SeededRandom random{3};
};

/// Runs one fetch by a node without a view, which asks one seed per call.
ViewExchange::Transfer fetch_once(http::EventLoop& loop, ViewExchange& asker) {
  ViewExchange::Transfer fetched;
  asker.fetch({}, [&](ViewExchange::Transfer view) {
    fetched = std::move(view);
    loop.stop();
  });
  loop.run();
  return fetched;
}

}  // namespace

TEST_CASE("a view is transferred completely, and seeds that are down or have no view are skipped") {
  ViewExchangeFixture fixture;
  ViewExchange full(fixture, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                    [](auto) { return make_view(); });
  ViewExchange empty(fixture, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                     [](auto) { return std::nullopt; });
  REQUIRE(full.listen());
  REQUIRE(empty.listen());
  ViewExchange asker(
      fixture, {.listen = {}, .seeds = {empty.bound(), Endpoint("127.0.0.1:1"), full.bound()}},
      [](auto) { return std::nullopt; });
  REQUIRE(asker.listen());
  CHECK_FALSE(fetch_once(fixture.loop, asker));
  CHECK_FALSE(fetch_once(fixture.loop, asker));
  const auto view = fetch_once(fixture.loop, asker);
  REQUIRE(view);
  const auto& snapshot = std::get<discovery::ViewSnapshot>(*view);
  CHECK(snapshot.through == shared_store::StoreRevision(12));
  CHECK(snapshot.configuration.size() == 200'000);
  CHECK(snapshot.backends.size() == 90);
}

TEST_CASE("a node that offered its view is asked before the seeds") {
  ViewExchangeFixture fixture;
  ViewExchange full(fixture, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                    [](auto) { return make_view(); });
  REQUIRE(full.listen());
  ViewExchange asker(fixture, {.listen = {}, .seeds = {Endpoint("127.0.0.1:1")}},
                     [](auto) { return std::nullopt; });
  CHECK_FALSE(fetch_once(fixture.loop, asker));
  for (int i = 0; i != 20; ++i) {
    asker.note_source(Endpoint("127.0.0.1:" + std::to_string(2 + i)));
  }
  asker.note_source(full.bound());
  CHECK(fetch_once(fixture.loop, asker));
}

TEST_CASE("a fetch without seeds returns no view") {
  ViewExchangeFixture fixture;
  ViewExchange asker(fixture, {}, [](auto) { return std::nullopt; });
  bool answered = false;
  asker.fetch({}, [&](const ViewExchange::Transfer& view) { answered = !view; });
  CHECK(answered);
}

TEST_CASE(
    "a delta is transferred instead of the full view, with at least the age the holder gave it") {
  ViewExchangeFixture fixture;
  int made = 0;
  ViewExchange holder(fixture, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}}, [&](auto after) {
    ++made;
    discovery::ViewDelta delta;
    delta.after = after.value();
    delta.through = shared_store::StoreRevision(30);
    delta.age = std::chrono::milliseconds(40);
    return discovery::ViewTransfer(delta);
  });
  REQUIRE(holder.listen());
  ViewExchange asker(fixture, {.listen = {}, .seeds = {}}, [](auto) { return std::nullopt; });
  for (int i = 0; i != 2; ++i) {
    ViewExchange::Transfer fetched;
    asker.fetch_from({holder.bound(), shared_store::StoreRevision(20)}, [&](auto transfer) {
      fetched = std::move(transfer);
      fixture.loop.stop();
    });
    fixture.loop.run();
    REQUIRE(fetched);
    const auto& delta = std::get<discovery::ViewDelta>(*fetched);
    CHECK(delta.after == shared_store::StoreRevision(20));
    CHECK(delta.age >= std::chrono::milliseconds(40));
  }
  CHECK(made <= 2);
}

TEST_CASE(
    "fetches succeed while the link of a holder is saturated and another node has been served") {
  ViewExchangeFixture fixture;
  // One view of random bytes, which do not compress, occupies a link of 1 Mbit/s for seconds.
  const auto make_large_view = [&](auto) {
    discovery::ViewSnapshot view = make_view();
    for (char& byte : view.configuration) {
      byte = static_cast<char>(fixture.random.below(256));
    }
    return discovery::ViewTransfer(view);
  };
  ViewExchange full(fixture, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}, .link_mbps = 1},
                    make_large_view);
  REQUIRE(full.listen());
  ViewExchange served(fixture, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}}, make_large_view);
  REQUIRE(served.listen());
  ViewExchange first(fixture, {.listen = served.bound(), .seeds = {full.bound()}},
                     [](auto) { return std::nullopt; });
  CHECK(fetch_once(fixture.loop, first));
  ViewExchange second(fixture, {.listen = Endpoint("127.0.0.1:1"), .seeds = {full.bound()}},
                      [](auto) { return std::nullopt; });
  CHECK(fetch_once(fixture.loop, second));
  ViewExchange third(fixture, {.listen = {}, .seeds = {}}, [](auto) { return std::nullopt; });
  bool answered = false;
  third.fetch_from({full.bound(), shared_store::StoreRevision(3)}, [&](const auto& transfer) {
    answered = transfer.has_value();
    fixture.loop.stop();
  });
  fixture.loop.run();
  CHECK(answered);
}

TEST_CASE("a view that was cut short or altered is not taken, and the fetch ends") {
  ViewExchangeFixture fixture;
  const std::string whole = wire::encode(discovery::ViewTransfer(make_view()));
  const std::string packed = wire::compress(whole);
  const std::string bodies[] = {"",
                                packed.substr(0, packed.size() / 2),
                                packed.substr(0, packed.size() - 1),
                                wire::compress(whole.substr(0, whole.size() / 2)),
                                wire::compress(whole.substr(0, whole.size() - 1)),
                                wire::compress(whole + "x"),
                                wire::compress(std::string(100'000, '\xff')),
                                std::string(100'000, '[')};
  for (const std::string& body : bodies) {
    http::ServerSettings settings;
    settings.listen = Endpoint("127.0.0.1:0");
    http::Server peer(fixture.loop, settings);
    peer.route("/", [&](const http::Request&, const auto& response) {
      response->respond(200, {{"view-kept-us", "18446744073709551615"}}, body);
    });
    REQUIRE(peer.listen());
    ViewExchange asker(fixture, {.listen = {}, .seeds = {peer.bound()}},
                       [](auto) { return std::nullopt; });
    CHECK_FALSE(fetch_once(fixture.loop, asker));
  }
}
