// A complete node on loopback with a clock controlled by the test, a fake store and a fake back
// end, and a caller that sends and receives raw bytes.
#pragma once

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "gateway_node/gateway_node.h"
#include "http/h2o_api.h"
#include "http/socket_address.h"

namespace ochrespring::gateway_node::testing {

using namespace std::chrono_literals;

/// Advances only when the test says so.
class ManualClock final : public Clock {
 public:
  MonotonicTime now() const override { return now_; }
  WallTime wall_now() const override { return WallTime(now_.load().time_since_epoch()); }
  void advance(Duration span) { now_ = now_.load() + span; }

 private:
  std::atomic<MonotonicTime> now_{MonotonicTime(std::chrono::hours(1))};
};

/// Routes `/short/` (timeout 2 s), `/long/` (timeout 20 s) and `/stream/` (event streams, timeout
/// 20 s) of host `h` to a service with one back end.
class RoutesCodec : public discovery::FleetCodec {
 public:
  const discovery::StoreLayout& layout() const override { return layout_; }
  Result<gateway::Configuration, discovery::CodecError> read_configuration(
      std::string_view /*value*/) const override {
    gateway::Configuration configuration;
    configuration.version = gateway::ConfigurationVersion(1);
    gateway::Route stream = make_route("/stream/", 20s);
    stream.kind = gateway::RequestKind::kStreaming;
    configuration.routes = {make_route("/short/", 2s), make_route("/long/", 20s), stream};
    configuration.services = {{ServiceName("relay"), 100, std::nullopt}};
    return configuration;
  }
  Result<gateway::Backend, discovery::CodecError> read_backend(
      std::string_view id, std::string_view value) const override {
    gateway::Backend backend;
    backend.id = gateway::BackendId(std::string(id));
    backend.service = ServiceName("relay");
    backend.address = Endpoint(std::string(value));
    backend.slots = 8;
    return backend;
  }

 protected:
  static gateway::Route make_route(const std::string& prefix, Duration timeout) {
    gateway::Route route;
    route.name = gateway::RouteName(prefix);
    route.host = "h";
    route.path_prefix = prefix;
    route.timeout = timeout;
    route.shares = {{ServiceName("relay"), 1}};
    return route;
  }

 private:
  discovery::StoreLayout layout_{"config", "backends/", "nodes/"};
};

/// Answers each call in the next iteration of the event loop, or never if `silent`.
class FakeStore : public shared_store::SharedStore {
 public:
  FakeStore(http::EventLoop& loop, std::string backend)
      : loop_(loop), backend_(std::move(backend)) {}

  void list(const std::string& /*prefix*/,
            shared_store::StoreCallback<shared_store::Listing> done) override {
    answer<shared_store::Listing>(std::move(done), {items(), revision_});
  }
  void list_page(const shared_store::PageRequest& /*request*/,
                 shared_store::StoreCallback<shared_store::ListPage> done) override {
    answer<shared_store::ListPage>(std::move(done), {items(), false, revision_});
  }
  void changes(const std::string& /*prefix*/, shared_store::StoreRevision /*after*/,
               Duration /*wait*/,
               shared_store::StoreCallback<shared_store::Changes> done) override {
    answer<shared_store::Changes>(std::move(done), {});
  }
  void put(const std::string& /*key*/, const std::string& /*value*/,
           std::optional<shared_store::LeaseId> /*lease*/,
           shared_store::StoreCallback<shared_store::StoreRevision> done) override {
    answer<shared_store::StoreRevision>(std::move(done), revision_);
  }
  void commit(const shared_store::Transaction& /*transaction*/,
              shared_store::StoreCallback<shared_store::StoreRevision> done) override {
    answer<shared_store::StoreRevision>(std::move(done), revision_);
  }
  void get(const std::string& /*key*/,
           shared_store::StoreCallback<shared_store::Change> done) override {
    answer<shared_store::Change>(std::move(done), items().front());
  }
  void grant_lease(Duration /*time_to_live*/,
                   shared_store::StoreCallback<shared_store::LeaseId> done) override {
    answer<shared_store::LeaseId>(std::move(done), shared_store::LeaseId(1));
  }
  void renew_lease(shared_store::LeaseId lease,
                   shared_store::StoreCallback<shared_store::LeaseId> done) override {
    answer<shared_store::LeaseId>(std::move(done), lease);
  }
  void end_lease(shared_store::LeaseId lease,
                 shared_store::StoreCallback<shared_store::LeaseId> done) override {
    answer<shared_store::LeaseId>(std::move(done), lease);
  }

  bool silent = false;

 protected:
  /// What is listed. The first item is the configuration.
  virtual std::vector<shared_store::Change> items() const {
    return {{"config", "1", revision_}, {"backends/b", backend_, revision_}};
  }
  shared_store::StoreRevision revision() const { return revision_; }

 private:
  template <class T>
  void answer(shared_store::StoreCallback<T> done, T value) {
    if (!silent) {
      loop_.post([done = std::move(done), value = std::move(value)] { done(value); });
    }
  }

  http::EventLoop& loop_;
  std::string backend_;
  shared_store::StoreRevision revision_{7};
};

/// Stub: these tests use no engines.
class StubEngineCalls : public gateway::EngineCalls {
 public:
  std::optional<std::string> parse_cache_handle(std::string_view /*body*/) const override {
    return std::nullopt;
  }
  http::ClientRequest release_cache(const std::string& /*handle*/) const override { return {}; }
  http::ClientRequest list_cached_parts() const override { return {}; }
  std::vector<std::string> parse_cached_parts(std::string_view /*body*/) const override {
    return {};
  }
  http::ClientRequest list_runs() const override { return {}; }
  std::optional<std::vector<std::string>> parse_runs(std::string_view /*body*/) const override {
    return std::nullopt;
  }
};

/// Holds requests until the test answers them.
struct HoldingBackend {
  explicit HoldingBackend(http::EventLoop& loop) : server(loop, loopback_settings()) {
    server.route("/", [this](const http::Request& request, auto response) {
      const gateway::HeaderNames names;
      ids.emplace(http::find_header(request.headers, names.request_id));
      held.push_back(std::move(response));
    });
    REQUIRE(server.listen());
  }
  static http::ServerSettings loopback_settings() {
    http::ServerSettings settings;
    settings.listen = Endpoint("127.0.0.1:0");
    return settings;
  }
  /// Answers the oldest request.
  void answer(std::string_view body) {
    const gateway::HeaderNames names;
    held.front()->respond(200, {{names.request_id, "r1"}, {names.signature, "sig"}}, body);
    held.erase(held.begin());
  }

  /// Sends the head of a signed event stream for the oldest request.
  void begin_stream() {
    const gateway::HeaderNames names;
    held.front()->send_head({200,
                             {{"content-type", "text/event-stream"},
                              {names.request_id, "r1"},
                              {names.signature, "sig"}}});
  }

  http::Server server;
  std::vector<std::shared_ptr<http::ResponseWriter>> held;
  std::set<std::string> ids;  ///< Of all requests that have arrived.
};

inline void set_reset_on_close(int descriptor) {
  const linger discard{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

/// How a connection stands, as its peer sees it.
enum class ConnectionEnd : std::uint8_t { kOpen, kClosed, kReset };

/// A caller's TCP connection.
class RawCaller {
 public:
  explicit RawCaller(const Endpoint& node) : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    // A small receive buffer keeps part of a large answer queued at the node.
    const int receive_bytes = 4096;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
    auto address = http::parse_endpoint(node);
    REQUIRE(address);
    REQUIRE(::connect(descriptor_, address.value().get(), address.value().length) == 0);
  }
  ~RawCaller() { close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void close() {
    if (descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }
  /// Closes the connection with a reset instead of an orderly close.
  void reset() {
    set_reset_on_close(descriptor_);
    close();
  }
  /// Closes the sending direction only.
  void shut_down_sending() const { ::shutdown(descriptor_, SHUT_WR); }

  void send(std::string_view bytes) const {
    REQUIRE(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  /// Returns all bytes received so far.
  const std::string& receive() {
    std::array<char, 65536> buffer{};
    ssize_t count = 0;
    while ((count = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
      received_.append(buffer.data(), static_cast<std::size_t>(count));
    }
    if (end_ == ConnectionEnd::kOpen && count == 0) {
      end_ = ConnectionEnd::kClosed;
    } else if (end_ == ConnectionEnd::kOpen && errno != EAGAIN) {
      end_ = ConnectionEnd::kReset;
    }
    return received_;
  }
  /// As seen by the last receive().
  ConnectionEnd end() const { return end_; }

 private:
  int descriptor_;
  std::string received_;
  ConnectionEnd end_ = ConnectionEnd::kOpen;
};

/// Runs the node and everything around it in one event loop.
class NodeFixture {
 public:
  /// With `backend_address`, the store names the back end there instead of `backend`.
  explicit NodeFixture(std::optional<Endpoint> backend_address = std::nullopt)
      : store(loop, backend_address.value_or(backend.server.bound()).value()) {
    REQUIRE(node.start());
    advance(1s);
  }

  /// Advances the clock in steps too small for the node to take them for a suspension.
  void advance(Duration span) {
    constexpr Duration kStep = 10ms;
    for (Duration moved{}; moved < span && !stopped(); moved += kStep) {
      clock.advance(kStep);
      run_once();
      run_once();
    }
  }
  /// Advances the clock in one step, as if the machine had been suspended.
  void jump(Duration span) {
    clock.advance(span);
    run_once();
  }
  /// Processes what is in flight on the sockets.
  void settle() {
    constexpr int kIterations = 20;
    for (int i = 0; i != kIterations; ++i) {
      run_once();
      std::this_thread::sleep_for(1ms);
    }
  }
  /// Runs the loop, with the clock stopped, until the condition holds. Returns false if it does not
  /// hold after `kMaxIterations` iterations.
  bool run_until(const std::function<bool()>& condition) {
    constexpr int kMaxIterations = 5000;
    for (int i = 0; i != kMaxIterations && !condition(); ++i) {
      run_once();
      std::this_thread::sleep_for(1ms);
    }
    return condition();
  }
  /// Waits until the back end holds one request.
  void await_at_backend() {
    REQUIRE(run_until([this] { return backend.held.size() == 1; }));
  }
  /// Whether the process would have exited and closed all its connections.
  bool stopped() const { return logger.stopped; }
  Endpoint address() const { return node.caller_address(); }

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
    return result;
  }

 private:
  struct StopLogger final : logging::Logger {
    void write(const logging::Record& record) override {
      stopped = stopped || record.message == "stopped";
    }
    bool stopped = false;
  };

  /// Runs the tasks that are due, then processes socket events without blocking.
  void run_once() {
    if (!stopped()) {
      loop.post([this] { loop.stop(); });
      loop.run();
    }
    if (!stopped()) {
      h2o_evloop_run(loop.native(), 0);
    }
  }

 public:
  ManualClock clock;
  StopLogger logger;
  http::EventLoop loop{clock};
  http::Client client{loop};
  HoldingBackend backend{loop};
  FakeStore store;
  SeededRandom random{5};
  gateway::HeaderNames names;
  StubEngineCalls engines;
  RoutesCodec codec;
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
};

}  // namespace ochrespring::gateway_node::testing
