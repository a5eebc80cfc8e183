// Views handed from node to node over loopback.
#include "gateway_node/view_exchange.h"

#include <doctest/doctest.h>

#include <string>

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

/// What a node without a view gets from the seeds, one after another.
ViewExchange::Snapshot fetch_once(http::EventLoop& loop, ViewExchange& asker) {
  ViewExchange::Snapshot fetched;
  asker.fetch([&](ViewExchange::Snapshot view) {
    fetched = std::move(view);
    loop.stop();
  });
  loop.run();
  return fetched;
}

}  // namespace

TEST_CASE("a view goes over whole, and seeds that are down or empty are passed over") {
  http::EventLoop loop;
  http::Client client(loop);
  ViewExchange full(loop, client, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                    [] { return make_view(); });
  ViewExchange empty(loop, client, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                     [] { return std::nullopt; });
  REQUIRE(full.listen());
  REQUIRE(empty.listen());
  ViewExchange asker(
      loop, client, {.listen = {}, .seeds = {empty.bound(), Endpoint("127.0.0.1:1"), full.bound()}},
      [] { return std::nullopt; });
  REQUIRE(asker.listen());
  CHECK_FALSE(fetch_once(loop, asker));
  CHECK_FALSE(fetch_once(loop, asker));
  const auto view = fetch_once(loop, asker);
  REQUIRE(view);
  CHECK(view->through == shared_store::StoreRevision(12));
  CHECK(view->configuration.size() == 200'000);
  CHECK(view->backends.size() == 90);
}

TEST_CASE("a node that has offered its view is asked before the seeds") {
  http::EventLoop loop;
  http::Client client(loop);
  ViewExchange full(loop, client, {.listen = Endpoint("127.0.0.1:0"), .seeds = {}},
                    [] { return make_view(); });
  REQUIRE(full.listen());
  ViewExchange asker(loop, client, {.listen = {}, .seeds = {Endpoint("127.0.0.1:1")}},
                     [] { return std::nullopt; });
  CHECK_FALSE(fetch_once(loop, asker));
  for (int i = 0; i != 20; ++i) {
    asker.note_source(Endpoint("127.0.0.1:" + std::to_string(2 + i)));
  }
  asker.note_source(full.bound());
  CHECK(fetch_once(loop, asker));
}

TEST_CASE("without seeds there is no view") {
  http::EventLoop loop;
  http::Client client(loop);
  ViewExchange asker(loop, client, {}, [] { return std::nullopt; });
  bool answered = false;
  asker.fetch([&](const ViewExchange::Snapshot& view) { answered = !view; });
  CHECK(answered);
}
