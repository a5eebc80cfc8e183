// Streams whose connection to their engine breaks. Guards against a run that goes on at the engine
// with its copy while the engine before still works on it, and against streams that end although
// their run has ended.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_node/tests/stopping_node.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

constexpr const char* kRunsPath = "/runs";

/// Route `/run/` of host `h`, whose streams must not be retried, to engines that replicate their
/// runs.
class EngineRoutesCodec final : public RoutesCodec {
 public:
  Result<gateway::Configuration, discovery::CodecError> read_configuration(
      std::string_view value) const override {
    gateway::Configuration configuration = RoutesCodec::read_configuration(value).value();
    gateway::Route route = make_route("/run/", 20s);
    route.kind = gateway::RequestKind::kStreaming;
    configuration.routes.push_back(route);
    configuration.services.front().engine =
        gateway::EngineShape{.slots = 8, .tokens_per_event = 4, .backs_up_streams = true};
    return configuration;
  }
  Result<gateway::Backend, discovery::CodecError> read_backend(
      std::string_view id, std::string_view value) const override {
    gateway::Backend backend = RoutesCodec::read_backend(id, value).value();
    backend.role = gateway::EngineRole::kDecode;
    backend.version = gateway::SoftwareVersion("v1");
    return backend;
  }
};

/// Lists runs as `runs=ID,...`.
class ListedRunsCalls final : public StubEngineCalls {
 public:
  http::ClientRequest list_runs() const override {
    http::ClientRequest request;
    request.path = kRunsPath;
    return request;
  }
  std::optional<std::vector<std::string>> parse_runs(std::string_view body) const override {
    constexpr std::string_view kBegin = "runs=";
    if (!body.starts_with(kBegin)) {
      return std::nullopt;
    }
    const std::string_view ids = body.substr(kBegin.size());
    return ids.empty() ? std::vector<std::string>() : std::vector{std::string(ids)};
  }
};

class TwoEnginesStore final : public FakeStore {
 public:
  TwoEnginesStore(http::EventLoop& loop, std::string first, std::string second)
      : FakeStore(loop, first), first_(std::move(first)), second_(std::move(second)) {}

 protected:
  std::vector<shared_store::Change> items() const override {
    return {{"config", "1", revision()},
            {"backends/e1", first_, revision()},
            {"backends/e2", second_, revision()}};
  }

 private:
  std::string first_;
  std::string second_;
};

/// Holds streams, and answers calls for its runs as the test says.
struct TestEngine {
  using Answer = std::function<void(http::ResponseWriter& response, std::size_t call)>;

  explicit TestEngine(http::EventLoop& loop)
      : server(std::make_unique<http::Server>(loop, HoldingBackend::loopback_settings())) {
    server->route(kRunsPath, [this](const http::Request& /*request*/, auto response) {
      held_calls.push_back(response);
      answer(*response, ++calls);
    });
    server->route("/run/", [this](http::Request request, auto response) {
      requests.push_back(std::move(request));
      runs.push_back(std::move(response));
    });
    REQUIRE(server->listen());
  }
  void send_head(bool leaving = false) const {
    const gateway::HeaderNames names;
    std::vector<http::Header> headers{
        {"content-type", "text/event-stream"}, {names.request_id, "r1"}, {names.signature, "sig"}};
    if (leaving) {
      headers.push_back({names.leaving, "1"});
    }
    runs.back()->send_head({200, headers});
  }

  std::unique_ptr<http::Server> server;
  std::vector<http::Request> requests;
  std::vector<std::shared_ptr<http::ResponseWriter>> runs;
  std::vector<std::shared_ptr<http::ResponseWriter>> held_calls;
  Answer answer = [](auto&, auto) {};
  std::size_t calls = 0;
};

/// A node with two engines, and a stream at one of them of which the caller has one event.
struct EnginesFixture {
  /// With `leaving`, the engine that runs the stream announces that it leaves.
  explicit EnginesFixture(bool leaving = false)
      : store(loop, one.server->bound().value(), two.server->bound().value()) {
    REQUIRE(node.start());
    // A node that starts has no retry budget yet.
    advance(12s);
    caller = std::make_unique<RawCaller>(node.caller_address());
    caller->send("POST /run/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n" +
                 names.prompt_parts + ": aa:100\r\n" + names.token_counts + ": 100,400\r\n\r\n");
    REQUIRE(run_until([&] { return one.runs.size() + two.runs.size() == 1; }));
    runner = one.runs.empty() ? &two : &one;
    backup = one.runs.empty() ? &one : &two;
    REQUIRE(http::find_header(runner->requests.back().headers, names.cache_backup) ==
            backup->server->bound().value());
    runner->send_head(leaving);
    runner->runs.back()->send_body("id: 1\ndata: a\n\n");
    REQUIRE(run_until([&] { return caller->receive().find("id: 1") != std::string::npos; }));
    // The run is now older than what an engine may not list yet.
    advance(1500ms);
  }

  void run_once() {
    loop.post([this] { loop.stop(); });
    loop.run();
    h2o_evloop_run(loop.native(), 0);
  }
  void advance(Duration span) {
    constexpr Duration kStep = 10ms;
    for (Duration moved{}; moved < span; moved += kStep) {
      clock.advance(kStep);
      run_once();
      run_once();
    }
  }
  bool run_until(const std::function<bool()>& condition) {
    constexpr int kMaxIterations = 2000;
    for (int i = 0; i != kMaxIterations && !condition(); ++i) {
      run_once();
      std::this_thread::sleep_for(1ms);
    }
    return condition();
  }
  /// Runs the node for so long that it has given up asking.
  void settle() {
    constexpr int kSteps = 30;
    for (int i = 0; i != kSteps; ++i) {
      advance(100ms);
      std::this_thread::sleep_for(2ms);
      run_once();
    }
  }
  Settings settings() const {
    Settings result;
    result.node = NodeId("n");
    result.zone = ZoneName("a");
    const Endpoint any("127.0.0.1:0");
    result.listen = any;
    result.ready_listen = any;
    result.directory_listen = any;
    result.peer_listen = any;
    result.view_listen = any;
    result.retry_budget = {1.0, 100, 10s};
    return result;
  }

  struct NullLogger final : logging::Logger {
    void write(const logging::Record& /*record*/) override {}
  };

  ManualClock clock;
  NullLogger logger;
  http::EventLoop loop{clock};
  // Their destruction runs the loop, so the client's calls must have ended before.
  TestEngine one{loop};
  TestEngine two{loop};
  http::Client client{loop};
  TwoEnginesStore store;
  SeededRandom random{5};
  gateway::HeaderNames names;
  ListedRunsCalls engines;
  EngineRoutesCodec codec;
  GatewayNode node{loop,
                   client,
                   clock,
                   random,
                   logger,
                   settings(),
                   {.names = names,
                    .engines = engines,
                    .codec = codec,
                    .store = store,
                    .add_ready_page = [](auto&, auto) {},
                    .add_directory_page = [](auto&, const auto&) {}}};
  std::unique_ptr<RawCaller> caller;
  TestEngine* runner = nullptr;
  TestEngine* backup = nullptr;
};

/// What an engine does after the connection of its run has broken.
struct Form {
  const char* name;
  TestEngine::Answer answer;
  bool crashes;
  bool resumed;
};

std::vector<Form> forms() {
  const auto always = [](std::uint16_t status, std::string body) {
    return [=](http::ResponseWriter& response, std::size_t /*call*/) {
      response.respond(status, {}, body);
    };
  };
  return {
      {"works on and says so", always(200, "runs=r1"), false, false},
      {"works on and does not list its runs", always(200, "{}"), false, false},
      {"works on and does not know the call", always(404, ""), false, false},
      {"works on and takes no call", always(503, ""), false, false},
      {"works on and answers no call", [](auto&, auto) {}, false, false},
      {"works on and breaks off its answer",
       [](http::ResponseWriter& response, std::size_t) { response.abort(); }, false, false},
      {"has dropped the run, as it says at last",
       [](http::ResponseWriter& response, std::size_t call) {
         response.respond(200, {}, call < 3 ? "runs=r1" : "runs=");
       },
       false, true},
      {"has ended the run", always(200, "runs=other"), false, true},
      {"crashed", [](auto&, auto) {}, true, true},
      {"was replaced at its address", always(421, ""), false, true},
  };
}

}  // namespace

TEST_CASE("a stream whose connection broke goes on elsewhere only if its run has ended") {
  for (const Form& form : forms()) {
    CAPTURE(std::string(form.name));
    EnginesFixture f;
    f.runner->answer = form.answer;
    f.runner->runs.back()->abort();
    if (form.crashes) {
      f.runner->server->stop_accepting();
    }
    f.run_until([&] {
      f.advance(10ms);
      f.caller->receive();
      return !f.backup->runs.empty() || f.caller->end() != ConnectionEnd::kOpen;
    });
    const bool resumed = !f.backup->runs.empty();
    CHECK(resumed == form.resumed);
    CHECK(f.runner->calls <= 8);
    if (!resumed) {
      f.settle();
      CHECK(f.backup->runs.empty());
      CHECK(f.caller->end() != ConnectionEnd::kOpen);
      CHECK_FALSE(f.caller->receive().ends_with("0\r\n\r\n"));
      continue;
    }
    const http::Request& request = f.backup->requests.back();
    CHECK(http::find_header(request.headers, f.names.cache_source) ==
          f.runner->server->bound().value() + "/r1");
    CHECK(http::find_header(request.headers, f.names.last_event) == "1");
    f.backup->send_head();
    f.backup->runs.back()->send_body("id: 2\ndata: b\n\n");
    f.backup->runs.back()->finish();
    CHECK(f.run_until([&] { return f.caller->receive().ends_with("0\r\n\r\n"); }));
    CHECK(f.caller->receive().find("id: 2\ndata: b") != std::string::npos);
  }
}

// Guards against an engine that is not asked because it takes no more requests.
TEST_CASE("a stream goes on elsewhere when its engine ends after it has announced to leave") {
  EnginesFixture f(true);
  f.runner->runs.back()->abort();
  f.runner->server->stop_accepting();
  CHECK(f.run_until([&] {
    f.advance(10ms);
    return !f.backup->runs.empty();
  }));
}

// Guards against a copy that its engine no longer has: nothing may run the stream again.
TEST_CASE("a stream ends if its run has ended whole and the copy is gone") {
  EnginesFixture f;
  f.runner->answer = [](http::ResponseWriter& response, std::size_t) {
    response.respond(200, {}, "runs=");
  };
  f.runner->runs.back()->abort();
  REQUIRE(f.run_until([&] { return f.backup->runs.size() == 1; }));
  f.backup->runs.back()->respond(503, {{f.names.request_id, "r1"}, {f.names.not_run, "1"}}, "");
  REQUIRE(f.run_until([&] {
    f.caller->receive();
    return f.caller->end() != ConnectionEnd::kOpen;
  }));
  CHECK_FALSE(f.caller->receive().ends_with("0\r\n\r\n"));
  CHECK(f.runner->runs.size() + f.backup->runs.size() == 2);
}

// Guards against calls for a run that nobody waits for.
TEST_CASE("a caller that leaves ends the questions about its run") {
  EnginesFixture f;
  f.runner->answer = [](http::ResponseWriter& response, std::size_t) {
    response.respond(200, {}, "runs=r1");
  };
  f.runner->runs.back()->abort();
  REQUIRE(f.run_until([&] { return f.runner->calls == 1; }));
  f.caller->close();
  f.settle();
  CHECK(f.runner->calls <= 2);
  CHECK(f.backup->runs.empty());
}
