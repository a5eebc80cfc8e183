// Answers that their back end breaks off. Guards against a node that passes on part of an event, or
// ends the answer to its caller as if it were complete. Each case combines one framing of the back
// end's answer, one place and manner of the break, and one protocol of the caller.
#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_node/tests/http2_caller.h"
#include "gateway_node/tests/raw_backend.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

/// Encodes an answer with `body`. If `complete` is false, `body` is only its beginning.
struct Framing {
  const char* name;
  bool marks_end;  ///< A close in order before the end shows that the answer is incomplete.
  std::string (*encode)(std::string_view type, std::string_view body, bool complete);
};

std::string make_head(std::string_view version, std::string_view type, std::string_view framing) {
  const gateway::HeaderNames names;
  return std::string(version) + " 200 OK\r\ncontent-type: " + std::string(type) + "\r\n" +
         names.request_id + ": r1\r\n" + names.signature + ": sig\r\n" + std::string(framing) +
         "\r\n";
}

std::string encode_with_length(std::string_view type, std::string_view body, bool complete) {
  constexpr std::size_t kMissing = 100;
  const std::size_t length = body.size() + (complete ? 0 : kMissing);
  return make_head("HTTP/1.1", type, "content-length: " + std::to_string(length) + "\r\n") +
         std::string(body);
}

std::string encode_in_chunks(std::string_view type, std::string_view body, bool complete) {
  std::string answer = make_head("HTTP/1.1", type, "transfer-encoding: chunked\r\n");
  if (!body.empty()) {
    constexpr std::string_view kHexDigits = "0123456789abcdef";
    REQUIRE(body.size() < 256);
    answer += {kHexDigits[body.size() / 16], kHexDigits[body.size() % 16]};
    answer += "\r\n" + std::string(body) + "\r\n";
  }
  return answer + (complete ? "0\r\n\r\n" : "");
}

std::string encode_unframed(std::string_view type, std::string_view body, bool /*complete*/) {
  return make_head("HTTP/1.1", type, "") + std::string(body);
}

std::string encode_unframed_http10(std::string_view type, std::string_view body,
                                   bool /*complete*/) {
  return make_head("HTTP/1.0", type, "") + std::string(body);
}

constexpr Framing kFramings[] = {
    {"length", true, encode_with_length},
    {"chunks", true, encode_in_chunks},
    {"neither length nor chunks", false, encode_unframed},
    {"neither length nor chunks, HTTP/1.0", false, encode_unframed_http10},
};

/// How a back end breaks off.
struct Manner {
  const char* name;
  bool orderly;
  void (RawBackend::*end)();
};

constexpr Manner kManners[] = {
    {"close", true, &RawBackend::close},
    {"reset", false, &RawBackend::reset},
};

const std::string kEvent = "id: 1\ndata: a\n\n";
const std::string kEvents = kEvent + "id: 2\ndata: b\n\n";

/// A stream cut off inside an event, or before the first one.
struct Cut {
  const char* name;
  std::string body;
  std::string whole_events;
};

const Cut kCuts[] = {
    {"before the first event", "", ""},
    {"inside the first event", "id: 1\nda", ""},
    {"inside a later event", kEvent + "id: 2\nda", kEvent},
    {"before the blank line", kEvent + "id: 2\ndata: b\n", kEvent},
    {"inside a line end", kEvent + "id: 2\r\ndata: b\r", kEvent},
    {"inside the blank line", kEvent + "id: 2\r\ndata: b\r\n\r", kEvent},
    {"behind a comment line", kEvent + ": comment\n", kEvent},
};

/// What a caller got.
struct Received {
  std::string body;
  bool success = false;   ///< The status is 200.
  bool complete = false;  ///< The answer looks complete to its caller.
  bool ended = false;     ///< Nothing more will follow.
};

std::size_t read_chunk(std::string_view chunks, std::string& body) {
  const std::size_t line = chunks.find("\r\n");
  if (line == std::string_view::npos) {
    return 0;
  }
  const std::size_t size = std::stoul(std::string(chunks.substr(0, line)), nullptr, 16);
  if (chunks.size() < line + 2 + size + 2) {
    return 0;
  }
  body += chunks.substr(line + 2, size);
  return line + 2 + size + 2;
}

/// Parses an answer to an HTTP/1 caller.
Received parse_answer(const std::string& bytes, ConnectionEnd end) {
  Received received;
  const std::size_t head = bytes.find("\r\n\r\n");
  received.ended = end != ConnectionEnd::kOpen;
  if (head == std::string::npos) {
    return received;
  }
  received.success = bytes.find(" 200 ") < bytes.find("\r\n");
  std::string fields = bytes.substr(0, head + 2);
  std::transform(fields.begin(), fields.end(), fields.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  std::string_view rest = std::string_view(bytes).substr(head + 4);
  const std::size_t length = fields.find("\r\ncontent-length: ");
  if (fields.find("\r\ntransfer-encoding: chunked\r\n") != std::string::npos) {
    while (const std::size_t used = read_chunk(rest, received.body)) {
      received.complete = rest.starts_with("0\r\n");
      rest.remove_prefix(used);
    }
  } else {
    received.body = rest;
    received.complete =
        length != std::string::npos
            ? rest.size() == std::stoul(fields.substr(length + sizeof("\r\ncontent-length:")))
            : end == ConnectionEnd::kClosed;
  }
  received.ended = received.ended || received.complete;
  return received;
}

/// Callers of one protocol. Each sends one request.
template <int kMinorVersion, bool kAsksToKeepConnection = false>
class Http1Caller {
 public:
  explicit Http1Caller(const Endpoint& node) : connection_(node) {}
  void send(std::string_view path) {
    connection_.send("GET " + std::string(path) + " HTTP/1." + std::to_string(kMinorVersion) +
                     "\r\nHost: h\r\nX-Request-Id: r1\r\n" +
                     (kAsksToKeepConnection ? "Connection: keep-alive\r\n\r\n" : "\r\n"));
  }
  Received receive() {
    const std::string& bytes = connection_.receive();
    return parse_answer(bytes, connection_.end());
  }

 private:
  RawCaller connection_;
};

using Http10Caller = Http1Caller<0>;
using Http10KeepAliveCaller = Http1Caller<0, true>;
using Http11Caller = Http1Caller<1>;

class FrameCaller {
 public:
  explicit FrameCaller(const Endpoint& node) : caller_(node) {}
  void send(std::string_view path) { caller_.send("GET", path); }
  Received receive() {
    const Http2Caller::Answer answer = caller_.receive();
    return {answer.body, answer.success, answer.complete, answer.complete || answer.was_reset};
  }

 protected:
  FrameCaller(const Endpoint& node, std::uint32_t window) : caller_(node, window) {}
  Http2Caller& caller() { return caller_; }

 private:
  Http2Caller caller_;
};

/// Its flow-control window is smaller than an event until open_window().
class SmallWindowCaller : public FrameCaller {
 public:
  explicit SmallWindowCaller(const Endpoint& node) : FrameCaller(node, 1000) {}
  void open_window() { caller().open_window(); }
};

/// Has the back end answer a request of a caller with `bytes` and end its connection; returns what
/// the caller got.
template <class Caller>
Received exchange(std::string_view path, const std::string& bytes, const Manner& manner) {
  RawBackend backend;
  NodeFixture fixture(backend.address());
  Caller caller(fixture.address());
  caller.send(path);
  backend.await_request(fixture);
  REQUIRE(backend.send(fixture, bytes) == bytes.size());
  (backend.*manner.end)();
  Received received;
  REQUIRE(fixture.run_until([&] {
    received = caller.receive();
    return received.ended;
  }));
  return received;
}

/// Has a caller read nothing of a long stream until the node ends it at its deadline, and then,
/// after `unblock`, everything. Checks that the stream does not look complete.
template <class Caller>
void check_aborted_while_blocked(void (*unblock)(Caller& caller)) {
  constexpr std::size_t kMoreThanBuffersTake = 32U << 20U;
  constexpr std::size_t kEventBytes = 16U << 10U;
  std::string events;
  while (events.size() < kMoreThanBuffersTake) {
    events += "data: " + std::string(kEventBytes, 'a') + "\n\n";
  }
  RawBackend backend;
  NodeFixture fixture(backend.address());
  Caller caller(fixture.address());
  caller.send("/stream/1");
  backend.await_request(fixture);
  backend.send(fixture, encode_unframed("text/event-stream", "", false));
  REQUIRE(backend.send(fixture, events) < events.size());
  fixture.advance(21s);
  unblock(caller);
  Received received;
  REQUIRE(fixture.run_until([&] {
    received = caller.receive();
    return received.ended;
  }));
  CHECK(received.success);
  CHECK_FALSE(received.complete);
  CHECK(events.starts_with(received.body));
}

template <class Caller>
void check_cut_streams() {
  for (const Framing& framing : kFramings) {
    for (const Manner& manner : kManners) {
      for (const Cut& cut : kCuts) {
        CAPTURE(std::string(framing.name));
        CAPTURE(std::string(manner.name));
        CAPTURE(std::string(cut.name));
        const Received received = exchange<Caller>(
            "/stream/1", framing.encode("text/event-stream", cut.body, false), manner);
        CHECK_FALSE((received.success && received.complete));
        CHECK((!received.success || cut.whole_events.starts_with(received.body)));
      }
    }
  }
}

/// Places inside a head: in each of its lines, behind each line, and in the blank line at its end.
std::vector<std::size_t> cuts_of_head(std::string_view head) {
  std::vector<std::size_t> cuts{1};
  for (std::size_t end = head.find("\r\n"); end + 2 < head.size();
       end = head.find("\r\n", end + 2)) {
    cuts.insert(cuts.end(), {end - 1, end, end + 1, end + 2});
  }
  cuts.push_back(head.size() - 1);
  return cuts;
}

template <class Caller>
void check_cut_heads() {
  for (const Framing& framing : kFramings) {
    for (const std::string_view path : {"/short/1", "/stream/1"}) {
      const bool streams = path == "/stream/1";
      const std::string head =
          framing.encode(streams ? "text/event-stream" : "text/plain", "", false);
      const auto cuts = cuts_of_head(head);
      for (std::size_t i = 0; i != cuts.size(); ++i) {
        const Manner& manner = kManners[i % std::size(kManners)];
        CAPTURE(std::string(framing.name));
        CAPTURE(std::string(manner.name));
        CAPTURE(head.substr(0, cuts[i]));
        CHECK_FALSE(exchange<Caller>(path, head.substr(0, cuts[i]), manner).success);
      }
    }
  }
}

/// Lines of heads that frame their body in a way that cannot be read.
constexpr std::string_view kUnusableFramings[] = {
    "content-length:\r\n",
    "content-length: -3\r\n",
    "content-length: 14\r\ncontent-length: 28\r\n",
    "content-length: 14\r\n 0\r\n",
    "transfer-encoding: gzip\r\n",
};

/// The body ends behind a whole event, so that the framing alone tells that more is missing.
template <class Caller>
void check_unusable_framings() {
  for (const std::string_view framing : kUnusableFramings) {
    CAPTURE(std::string(framing));
    const Received ordinary = exchange<Caller>(
        "/short/1", make_head("HTTP/1.1", "text/plain", framing) + kEvent, kManners[0]);
    CHECK_FALSE(ordinary.success);
    const Received stream = exchange<Caller>(
        "/stream/1", make_head("HTTP/1.1", "text/event-stream", framing) + kEvent, kManners[0]);
    CHECK_FALSE((stream.success && stream.complete));
  }
}

template <class Caller>
void check_whole_streams() {
  for (const Framing& framing : kFramings) {
    CAPTURE(std::string(framing.name));
    const Received received = exchange<Caller>(
        "/stream/1", framing.encode("text/event-stream", kEvents, true), kManners[0]);
    CHECK(received.success);
    CHECK(received.complete);
    CHECK(received.body == kEvents);
  }
}

template <class Caller>
void check_ordinary_answers() {
  for (const Framing& framing : kFramings) {
    CAPTURE(std::string(framing.name));
    const Received whole =
        exchange<Caller>("/short/1", framing.encode("text/plain", "whole", true), kManners[0]);
    CHECK((whole.success && whole.complete && whole.body == "whole"));
    for (const Manner& manner : kManners) {
      if (manner.orderly && !framing.marks_end) {
        continue;  // Nothing distinguishes such an answer from a complete one.
      }
      CAPTURE(std::string(manner.name));
      const Received cut =
          exchange<Caller>("/short/1", framing.encode("text/plain", "who", false), manner);
      CHECK_FALSE(cut.success);
    }
  }
}

}  // namespace

TEST_CASE("HTTP/1.1: a stream cut off inside an event never looks complete") {
  check_cut_streams<Http11Caller>();
}

TEST_CASE("HTTP/1.0: a stream cut off inside an event never looks complete") {
  check_cut_streams<Http10Caller>();
  check_cut_streams<Http10KeepAliveCaller>();
}

TEST_CASE("HTTP/2: a stream cut off inside an event never looks complete") {
  check_cut_streams<FrameCaller>();
}

TEST_CASE("HTTP/1.1: an answer cut off inside its head is never a success") {
  check_cut_heads<Http11Caller>();
}

TEST_CASE("HTTP/1.0: an answer cut off inside its head is never a success") {
  check_cut_heads<Http10Caller>();
  check_cut_heads<Http10KeepAliveCaller>();
}

TEST_CASE("HTTP/2: an answer cut off inside its head is never a success") {
  check_cut_heads<FrameCaller>();
}

TEST_CASE("an answer whose head states no usable framing never looks complete") {
  check_unusable_framings<Http11Caller>();
  check_unusable_framings<Http10Caller>();
  check_unusable_framings<Http10KeepAliveCaller>();
  check_unusable_framings<FrameCaller>();
}

TEST_CASE("a stream aborted while its caller does not read never looks complete") {
  check_aborted_while_blocked<Http11Caller>([](auto& /*caller*/) {});
  check_aborted_while_blocked<Http10Caller>([](auto& /*caller*/) {});
  check_aborted_while_blocked<FrameCaller>([](auto& /*caller*/) {});
  check_aborted_while_blocked<SmallWindowCaller>([](auto& caller) { caller.open_window(); });
}

TEST_CASE("a whole stream is delivered whole in any framing") {
  check_whole_streams<Http11Caller>();
  check_whole_streams<Http10Caller>();
  check_whole_streams<Http10KeepAliveCaller>();
  check_whole_streams<FrameCaller>();
}

TEST_CASE("an ordinary answer is delivered whole or not at all") {
  check_ordinary_answers<Http11Caller>();
  check_ordinary_answers<Http10Caller>();
  check_ordinary_answers<Http10KeepAliveCaller>();
  check_ordinary_answers<FrameCaller>();
}
