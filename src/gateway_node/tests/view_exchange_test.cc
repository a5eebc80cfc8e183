// Views handed from node to node over loopback.
#include "gateway_node/view_exchange.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

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

struct ExchangeWorld {
  operator ViewExchange::Dependencies() { return {loop, client, clock, random}; }

  http::EventLoop loop;
  http::Client client{loop};
  SystemClock clock;
  SeededRandom random{3};
};

/// What a node without a view gets from the seeds, one after another.
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

TEST_CASE("a view goes over whole, and seeds that are down or empty are passed over") {
  ExchangeWorld world;
  ViewExchange full(world, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                    [](auto) { return make_view(); });
  ViewExchange empty(world, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                     [](auto) { return std::nullopt; });
  REQUIRE(full.listen());
  REQUIRE(empty.listen());
  ViewExchange asker(
      world, {.listen = {}, .seeds = {empty.bound(), Endpoint("127.0.0.1:1"), full.bound()}},
      [](auto) { return std::nullopt; });
  REQUIRE(asker.listen());
  CHECK_FALSE(fetch_once(world.loop, asker));
  CHECK_FALSE(fetch_once(world.loop, asker));
  const auto view = fetch_once(world.loop, asker);
  REQUIRE(view);
  const auto& snapshot = std::get<discovery::ViewSnapshot>(*view);
  CHECK(snapshot.through == shared_store::StoreRevision(12));
  CHECK(snapshot.configuration.size() == 200'000);
  CHECK(snapshot.backends.size() == 90);
}

TEST_CASE("a node that has offered its view is asked before the seeds") {
  ExchangeWorld world;
  ViewExchange full(world, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                    [](auto) { return make_view(); });
  REQUIRE(full.listen());
  ViewExchange asker(world, {.listen = {}, .seeds = {Endpoint("127.0.0.1:1")}},
                     [](auto) { return std::nullopt; });
  CHECK_FALSE(fetch_once(world.loop, asker));
  for (int i = 0; i != 20; ++i) {
    asker.note_source(Endpoint("127.0.0.1:" + std::to_string(2 + i)));
  }
  asker.note_source(full.bound());
  CHECK(fetch_once(world.loop, asker));
}

TEST_CASE("without seeds there is no view") {
  ExchangeWorld world;
  ViewExchange asker(world, {}, [](auto) { return std::nullopt; });
  bool answered = false;
  asker.fetch({}, [&](const ViewExchange::Transfer& view) { answered = !view; });
  CHECK(answered);
}

TEST_CASE("what has changed goes over alone, and its age counts on while the answer is kept") {
  ExchangeWorld world;
  int made = 0;
  ViewExchange holder(world, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}}, [&](auto after) {
    ++made;
    discovery::ViewDelta delta;
    delta.after = after.value();
    delta.through = shared_store::StoreRevision(30);
    delta.age = std::chrono::milliseconds(40);
    return discovery::ViewTransfer(delta);
  });
  REQUIRE(holder.listen());
  ViewExchange asker(world, {.listen = {}, .seeds = {}}, [](auto) { return std::nullopt; });
  for (int i = 0; i != 2; ++i) {
    ViewExchange::Transfer fetched;
    asker.fetch_from({holder.bound(), shared_store::StoreRevision(20)}, [&](auto transfer) {
      fetched = std::move(transfer);
      world.loop.stop();
    });
    world.loop.run();
    REQUIRE(fetched);
    const auto& delta = std::get<discovery::ViewDelta>(*fetched);
    CHECK(delta.after == shared_store::StoreRevision(20));
    CHECK(delta.age >= std::chrono::milliseconds(40));
  }
  CHECK(made <= 2);
}

TEST_CASE("a holder whose link is full names those it has served, and these are asked") {
  ExchangeWorld world;
  // One view of random bytes takes a link of 1 Mbit/s for seconds.
  const auto make_large_view = [&](auto) {
    discovery::ViewSnapshot view = make_view();
    for (char& byte : view.configuration) {
      byte = static_cast<char>(world.random.below(256));
    }
    return discovery::ViewTransfer(view);
  };
  ViewExchange full(world, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}, .link_mbps = 1},
                    make_large_view);
  REQUIRE(full.listen());
  ViewExchange served(world, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}}, make_large_view);
  REQUIRE(served.listen());
  ViewExchange first(world, {.listen = served.bound(), .seeds = {full.bound()}},
                     [](auto) { return std::nullopt; });
  CHECK(fetch_once(world.loop, first));
  ViewExchange second(world, {.listen = Endpoint("127.0.0.1:1"), .seeds = {full.bound()}},
                      [](auto) { return std::nullopt; });
  CHECK(fetch_once(world.loop, second));
  ViewExchange third(world, {.listen = {}, .seeds = {}}, [](auto) { return std::nullopt; });
  bool answered = false;
  third.fetch_from({full.bound(), shared_store::StoreRevision(3)}, [&](const auto& transfer) {
    answered = transfer.has_value();
    world.loop.stop();
  });
  world.loop.run();
  CHECK(answered);
}
