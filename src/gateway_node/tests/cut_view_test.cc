// Tests views of other nodes that are cut short at every byte. Guards against a part of a view, or
// an empty one, that a node takes over.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/view_exchange.h"
#include "http/tests/cutting_server.h"
#include "wire/codec.h"
#include "wire/compression.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using http::testing::CutEnd;

namespace {

std::string make_view() {
  discovery::ViewSnapshot view;
  view.through = shared_store::StoreRevision(12);
  view.configuration = "configuration";
  view.backends.resize(1);
  return wire::compress(wire::encode(discovery::ViewTransfer(view)));
}

std::string with_length(const std::string& body) {
  return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string unframed(const std::string& body) {
  return "HTTP/1.1 200 OK\r\n\r\n" + body;
}

/// Whether a node takes a view over from a holder that sends `bytes` and ends the connection.
bool is_taken_over(std::string bytes, CutEnd end) {
  const http::testing::CuttingServer holder({"", std::move(bytes), end});
  http::EventLoop loop;
  http::Client client(loop);
  SystemClock clock;
  SeededRandom random{3};
  ViewExchange asker({loop, client, clock, random}, {.listen = {}, .seeds = {}},
                     [](auto) { return std::nullopt; });
  bool taken_over = false;
  asker.fetch_from({holder.endpoint(), std::nullopt}, [&](const auto& view) {
    taken_over = view.has_value();
    loop.stop();
  });
  loop.run();
  return taken_over;
}

void check_cuts(const std::string& answer) {
  for (std::size_t cut = 0; cut != answer.size(); ++cut) {
    for (const CutEnd end : {CutEnd::kClose, CutEnd::kReset}) {
      CAPTURE(cut);
      CAPTURE((end == CutEnd::kReset));
      CHECK_FALSE(is_taken_over(answer.substr(0, cut), end));
    }
  }
}

}  // namespace

TEST_CASE("a view that is cut at any byte is not taken over") {
  const std::string answer = with_length(make_view());
  check_cuts(answer);
  CHECK(is_taken_over(answer, CutEnd::kClose));
}

TEST_CASE("a view that only a close ends is not taken over") {
  const std::string answer = unframed(make_view());
  check_cuts(answer);
  CHECK_FALSE(is_taken_over(answer, CutEnd::kClose));
}
