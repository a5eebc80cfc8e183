// A simulated fleet under virtual time: complete gateways with their views of the fleet and their
// peer messages, one shared store, back ends that terminate, and callers that retry.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_control.h"
#include "base/random.h"
#include "discovery/fleet_watcher.h"
#include "gateway/backend_incarnation.h"
#include "gateway/gateway.h"
#include "gateway/prompt.h"
#include "gateway/tests/gateway_fixture.h"
#include "gateway_node/peer_exchange.h"
#include "logging/logger.h"
#include "quarantine/quarantine.h"
#include "rate_limit/rate_limiter.h"
#include "shared_store/tests/memory_store.h"
#include "simulation/suspendable_machine.h"
#include "simulation/virtual_time.h"
#include "stream_records/history_keeper.h"
#include "stream_records/stream_records.h"
#include "wire/codec.h"

namespace ochrespring::gateway_node::testing {

using namespace std::chrono_literals;

/// Reads back ends in the wire encoding, and configurations from their version number. Versions
/// above 1 have an additional route; kMovedRouteVersion routes resumable streams to service
/// `moved`.
class EncodedCodec final : public discovery::FleetCodec {
 public:
  const discovery::StoreLayout& layout() const override { return layout_; }
  static constexpr std::uint64_t kMovedRouteVersion = 100;

  Result<gateway::Configuration, discovery::CodecError> read_configuration(
      std::string_view value) const override {
    using gateway::testing::GatewayFixture;
    const std::uint64_t version = std::stoul(std::string(value));
    gateway::Configuration configuration = GatewayFixture::make_configuration(version);
    if (version > 1) {
      configuration.routes.push_back(GatewayFixture::make_route(
          "/added/", gateway::RequestKind::kIdempotent, "relay", 2, false));
    }
    if (version == kMovedRouteVersion) {
      for (gateway::Route& route : configuration.routes) {
        if (route.resumable) {
          route.shares = {{ServiceName("moved"), 1}};
        }
      }
      configuration.services.push_back({ServiceName("moved"), 100, gateway::EngineShape{}});
    }
    return configuration;
  }
  Result<gateway::Backend, discovery::CodecError> read_backend(
      std::string_view /*id*/, std::string_view value) const override {
    return wire::decode<gateway::Backend>(value).value();
  }

 private:
  discovery::StoreLayout layout_{"config", "backends/", "nodes/", "duties/", "quarantine/"};
};

/// A request in transit to a back end, or running there.
struct FleetExchange {
  /// Calls the callback with the observer as soon as the node is not suspended, if the exchange is
  /// still open.
  void deliver(std::function<void(http::ResponseObserver&)> callback);

  http::ClientRequest request;
  http::ResponseObserver* observer = nullptr;
  bool open = true;
  bool head_sent = false;
  simulation::SuspendableMachine* machine = nullptr;  ///< The node's.
  std::size_t node = 0;
  std::weak_ptr<FleetExchange> self;
};

inline void FleetExchange::deliver(std::function<void(http::ResponseObserver&)> callback) {
  machine->when_awake([exchange = self.lock(), callback = std::move(callback)] {
    if (exchange->open) {
      callback(*exchange->observer);
    }
  });
}

/// A fake back end at a fixed address, across all its incarnations.
struct FakeBackendServer {
  gateway::Backend backend;
  bool alive = true;
  std::uint32_t incarnation = 1;
  std::string rate_limit;  ///< Sent with its answers; empty: none.
  /// How it rejects requests with status 503.
  struct Shedding {
    double chance = 1;        ///< Probability that a request is rejected.
    std::string retry_after;  ///< Value of the header; empty: none.
    Duration span{};          ///< The duration that `retry_after` stands for.
  };
  std::optional<Shedding> shedding;   ///< Empty: rejects nothing.
  Duration connect_delay{};           ///< Before it accepts a connection.
  bool sends_leaving_header = false;  ///< In all answers; the store does not show it.
  std::vector<std::shared_ptr<FleetExchange>> active_exchanges;
};

class CrashFleet;
struct CrashNode;

class FleetTransport final : public gateway::BackendTransport {
 public:
  FleetTransport(CrashFleet& fleet, std::size_t node) : fleet_(fleet), node_(node) {}
  std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                        http::ResponseObserver& observer) override;
  bool has_idle_connection(const Endpoint& /*endpoint*/) const override { return true; }
  void send_and_forget(http::ClientRequest /*request*/) override {}

  void reset_all() {
    for (const auto& exchange : std::exchange(exchanges_, {})) {
      exchange->deliver([](auto& observer) {
        observer.on_failure({http::HttpErrc::kReset, "reset"}, true);
      });
    }
  }
  /// Closes all connections without notifying observers: the node's process has terminated.
  void close_all() {
    for (const auto& exchange : exchanges_) {
      exchange->open = false;
    }
  }

 private:
  class Handle final : public http::Exchange {
   public:
    explicit Handle(std::shared_ptr<FleetExchange> exchange) : exchange_(std::move(exchange)) {}
    ~Handle() override { exchange_->open = false; }
    void set_reading(bool /*reading*/) override {}
    bool sent() const override { return true; }

   private:
    std::shared_ptr<FleetExchange> exchange_;
  };

  CrashFleet& fleet_;
  std::size_t node_;
  std::vector<std::shared_ptr<FleetExchange>> exchanges_;
};

/// A node's records of the software that began streams.
struct NodeStreamRecords {
  NodeStreamRecords(CrashFleet& fleet, CrashNode& node);
  void connect(CrashNode& node);

  SeededRandom random;
  stream_records::StreamRecords records;
  stream_records::HistoryKeeper keeper;
};

struct CrashNode {
  CrashNode(CrashFleet& fleet, std::size_t number, std::uint64_t incarnation);

  simulation::SuspendableMachine machine;
  const Clock& clock;
  bool cut_off = false;               ///< Disconnected from all other nodes.
  bool requested_state = false;       ///< Whether it has asked other nodes for their state.
  Endpoint offered_view_address;      ///< Of the last node that offered its view.
  bool backends_unreachable = false;  ///< A middlebox resets its connections to back ends.
  MonotonicTime last_fault_end{};     ///< End of the node's last fault.
  MonotonicTime last_interruption{};  ///< Last start, or end of a suspension.
  SeededRandom random;
  /// Separate, so that the other random sequences do not depend on the rate limiter.
  SeededRandom limiter_random;
  discovery::NodeRecord record;
  discovery::NodeDirectory nodes;
  gateway::FleetState view;
  gateway::LoadTable loads;
  gateway::Placement placement;
  gateway::RetryBudget budget{{.ratio = 0.2, .slack = 52, .window = 10s}};
  gateway::UnansweredSends unanswered;
  gateway::SharePicker shares;
  gateway::HeaderNames names;
  gateway::testing::FakeEngineCalls engines;
  gateway::GatewayStatistics statistics;
  FleetTransport transport;
  shared_store::testing::MemoryStore store;
  discovery::FleetWatcher watcher;
  PeerExchange news;
  quarantine::Quarantine quarantine;
  rate_limit::RateLimiter rate_limiter;
  admission::AdmissionControl admission;
  std::unique_ptr<NodeStreamRecords> streams;  ///< Null: not enabled.
  gateway::Gateway gateway;
};

struct CrashFleetOptions {
  std::size_t nodes = 6;
  std::size_t prefill_engines = 4;
  std::size_t decode_engines = 5;
  std::size_t relay_servers = 3;  ///< Back ends of the service without engines.
  double loss = 0;                ///< Fraction of datagrams between nodes that is lost.
  std::uint64_t seed = 7;
  std::uint32_t relay_from_nodes = 48;
  bool clock_stops_when_suspended = false;
  bool quick_restarts = false;  ///< Back ends restart within 1.2 s, under the same name.
  /// A back end that restarts while the store is down registers with its first heartbeat (every
  /// 1.2 s) after that. Off: as if the store had taken it at once.
  bool registration_needs_store = false;
  bool quarantine_enabled = true;       ///< Off: shows the effect of the quarantine.
  bool rate_limiting_enabled = true;    ///< Off: nodes ignore rate limits of back ends.
  bool stream_records_enabled = false;  ///< Off: streams that callers take up are rejected.
  std::uint32_t skipped_draws = 0;      ///< Random numbers each node discards first.
};

/// A prompt that shares parts with those of other requests.
struct TestPrompt {
  std::vector<std::string> shared_parts{"aa"};

  /// Value of the header; `own_part` is the last one.
  std::string header(const std::string& own_part) const {
    std::string value;
    for (const std::string& part : shared_parts) {
      value += part + ":6300,";
    }
    return value + own_part + ":2000";
  }
  /// Reads the shared parts of a header.
  static std::vector<std::string> parse(std::string_view header) {
    std::vector<std::string> parts;
    for (const gateway::PromptPart& part : gateway::parse_prompt(header, "").parts) {
      parts.push_back(part.id);
    }
    if (!parts.empty()) {
      parts.pop_back();
    }
    return parts;
  }
};

/// Outcomes of requests, by status.
struct RequestOutcomes {
  std::uint32_t sent = 0;
  std::uint32_t served = 0;
  std::uint32_t refused = 0;  ///< 503.
  std::uint32_t unknown = 0;  ///< 502, 504 or a truncated stream.
};

class CrashFleet {
 public:
  /// Time after the end of a node's last fault, or after the event that nodes must react to, before
  /// its behaviour is checked.
  static constexpr Duration kSettlingTime{3s};

  explicit CrashFleet(const CrashFleetOptions& options) : options_(options), random(options.seed) {
    write("config", "1");
    add_servers("llm", gateway::EngineRole::kPrefill, options.prefill_engines);
    add_servers("llm", gateway::EngineRole::kDecode, options.decode_engines);
    add_servers("relay", gateway::EngineRole::kNone, options.relay_servers);
    for (std::size_t i = 0; i != options.nodes; ++i) {
      nodes.push_back(nullptr);
      start_node(i);
    }
    advance(12s);
  }

  void advance(Duration span) { time.run_until(time.now() + span); }
  Duration random_duration(Duration min, Duration max) {
    return min + from_seconds(to_seconds(max - min) * random.unit());
  }

  void write(const std::string& key, const std::string& value) {
    REQUIRE(state.commit({.conditions = {}, .writes = {{key, value, {}}}, .removals = {}}));
  }
  void suspend(std::size_t number, Duration span) {
    nodes[number]->machine.suspend(span);
    nodes[number]->last_fault_end = time.now() + span;
    nodes[number]->last_interruption = time.now() + span;
  }
  /// Disconnects a node from all other nodes for `span`.
  void cut_off(std::size_t number, Duration span) {
    nodes[number]->cut_off = true;
    time.schedule_after(span, [this, number] {
      nodes[number]->cut_off = false;
      nodes[number]->last_fault_end = time.now();
    });
  }
  /// Kills a node's process and starts it again at once, without any state.
  void restart(std::size_t number) {
    nodes[number]->transport.close_all();
    nodes[number]->cut_off = true;
    nodes[number]->store.partitioned = true;
    retired_.push_back(std::move(nodes[number]));
    start_node(number);
    nodes[number]->last_fault_end = time.now();
    nodes[number]->last_interruption = time.now();
  }

  /// Sends one request to a node. `done` gets the status, or 0 for a truncated answer.
  void send(std::size_t node, const std::string& path, const std::string& body,
            std::function<void(int)> done = {}) {
    await_answer(start_request(node, path, body), std::move(done));
  }
  /// Sends one request to a node and returns its caller.
  std::shared_ptr<gateway::testing::FakeCaller> start_request(std::size_t node,
                                                              const std::string& path,
                                                              const std::string& body,
                                                              const TestPrompt& prompt = {},
                                                              std::vector<http::Header> more = {}) {
    auto caller = std::make_shared<gateway::testing::FakeCaller>();
    const gateway::HeaderNames names;
    std::vector<http::Header> headers{{"host", "h"},
                                      {"x-request-id", "r" + std::to_string(++ids_)},
                                      {names.deadline, "5000"},
                                      {names.prompt_parts, prompt.header(std::to_string(ids_))},
                                      {names.token_counts, "8300,20"}};
    headers.insert(headers.end(), more.begin(), more.end());
    request_sent_at["r" + std::to_string(ids_)] = time.now();
    nodes[node]->machine.when_awake([gateway = &nodes[node]->gateway, caller, path, body, headers] {
      gateway->handle({"POST", path, "", headers, body}, caller);
    });
    return caller;
  }

  /// Sends one request to a node, as send(), with a prompt. `done` also gets whether an event or
  /// the whole answer arrived.
  void send_prompt(std::size_t node, const std::string& path, const std::string& body,
                   const TestPrompt& prompt, std::function<void(int status, bool began)> done) {
    auto caller = start_request(node, path, body, prompt);
    await_answer(caller, [caller, done = std::move(done)](int status) {
      done(status, status == 200 || caller->head.status == 200);
    });
  }

  /// Sends `body` to random nodes for `span`, on average once per `pause`; counts in
  /// `repeated_requests`.
  void send_repeatedly(const std::string& path, const std::string& body, Duration pause,
                       Duration span, const TestPrompt& prompt = {}) {
    if (span <= Duration::zero()) {
      return;
    }
    await_answer(start_request(random.below(nodes.size()), path, body, prompt),
                 [this, body](int status) { count(repeated_requests[body], status); });
    const Duration wait = random_duration(pause / 2, pause * 3 / 2);
    time.schedule_after(wait, [this, path, body, pause, span, wait, prompt] {
      send_repeatedly(path, body, pause, span - wait, prompt);
    });
  }

  /// Sends requests of all kinds, each with its own body, and retries each once where that is safe;
  /// counts in `ordinary_requests`.
  void send_traffic(double per_second, Duration span) {
    if (span <= Duration::zero()) {
      return;
    }
    static constexpr const char* kPaths[] = {"/resumable/x", "/stream/x", "/resumable/x",
                                             "/idempotent/x", "/once/x"};
    const std::string path = kPaths[random.below(5)];
    const std::string body = "innocent-" + std::to_string(++ids_);
    send(random.below(nodes.size()), path, body, [this, path, body](int status) {
      if (status == 503 || (status != 200 && path == "/idempotent/x")) {
        time.schedule_after(100ms, [this, path, body] {
          send(random.below(nodes.size()), path, body,
               [this](int again) { count(ordinary_requests, again); });
        });
        return;
      }
      count(ordinary_requests, status);
    });
    const Duration wait = from_seconds(random.exponential(1 / per_second));
    time.schedule_after(wait,
                        [this, per_second, span, wait] { send_traffic(per_second, span - wait); });
  }

  /// Replaces a back end by one that runs another software version, at the same address. Its
  /// predecessor's entry is removed at once.
  void update(FakeBackendServer& server, const std::string& version) {
    const std::string former = "backends/" + server.backend.id.value();
    ++server.incarnation;
    assign_id(server);
    server.backend.version = gateway::SoftwareVersion(version);
    register_server(server);
    state.remove(former);
  }
  /// The id of the latest request.
  std::string last_request_id() const { return "r" + std::to_string(ids_); }
  /// Terminates a back end and everything that runs there. It restarts after 2 to 3.5 s with a new
  /// id, or with `quick_restarts` after 0.3 to 1.2 s under the same name.
  void crash(FakeBackendServer& server) {
    server.alive = false;
    const std::string id = server.backend.id.value();
    for (const auto& exchange : std::exchange(server.active_exchanges, {})) {
      const auto code = exchange->head_sent ? http::HttpErrc::kTruncated : http::HttpErrc::kReset;
      exchange->deliver([code](auto& observer) { observer.on_failure({code, "ended"}, true); });
    }
    if (!options_.quick_restarts) {
      time.schedule_after(3600ms, [this, id] { state.remove("backends/" + id); });
    }
    const Duration downtime =
        options_.quick_restarts ? random_duration(300ms, 1200ms) : random_duration(2s, 3500ms);
    time.schedule_after(downtime, [this, &server] {
      ++server.incarnation;
      assign_id(server);
      server.alive = true;
      // A lost first registration is made up for by the next heartbeat, up to 1.2 s later.
      const Duration until_registered =
          options_.quick_restarts ? random_duration(200ms, 1200ms) : Duration(200ms);
      time.schedule_after(until_registered, [this, &server, incarnation = server.incarnation] {
        register_restarted(server, incarnation);
      });
    });
  }

  /// Counts the requests with this body, first attempts and retries, that reached back ends later
  /// than `kSettlingTime` after the third crash it caused. Leaves out those of nodes whose last
  /// fault ended less than `kSettlingTime` before; a cut-off that has not ended leaves out none.
  /// With `outage_end`, the end of an outage of the store, also leaves out those during the outage
  /// and until `kSettlingTime` after it.
  std::size_t count_late_sends(const std::string& body,
                               std::optional<MonotonicTime> outage_end = {}) const {
    const auto found = crashes.find(body);
    if (found == crashes.end() || found->second.size() < 3) {
      return 0;
    }
    const MonotonicTime bound = found->second[2] + kSettlingTime;
    return static_cast<std::size_t>(
        std::count_if(sends.begin(), sends.end(), [&](const Send& send) {
          const bool unsettled =
              outage_end && (send.store_down ||
                             (send.at >= *outage_end && send.at <= *outage_end + kSettlingTime));
          return send.body == body && send.at > bound && send.settled && !unsettled;
        }));
  }

  /// Counts the requests with this prompt part, first attempts and retries, that reached back ends
  /// later than `kSettlingTime` after the fifth crash it caused. Leaves out those of nodes whose
  /// last fault ended less than `kSettlingTime` before, and those during an outage of the store.
  std::size_t count_late_part_sends(const std::string& part) const {
    const auto found = part_crashes.find(part);
    if (found == part_crashes.end() || found->second.size() < 5) {
      return 0;
    }
    const MonotonicTime bound = found->second[4] + kSettlingTime;
    return static_cast<std::size_t>(
        std::count_if(sends.begin(), sends.end(), [&](const Send& send) {
          return send.crashing_part == part && send.at > bound && send.settled && !send.store_down;
        }));
  }

  void probe(CrashNode& node, const Endpoint& address,
             std::function<void(http::ProbeResult)> done) {
    time.schedule_after(2ms, [this, &node, address, done = std::move(done)] {
      const bool accepted = server_at(address).alive && !node.backends_unreachable;
      node.machine.when_awake([accepted, done] {
        done(accepted ? http::ProbeResult::kAccepted : http::ProbeResult::kRefused);
      });
    });
  }
  /// Resets all connections between nodes and a back end that keeps running.
  void reset_connections(FakeBackendServer& server) {
    for (const auto& exchange : std::exchange(server.active_exchanges, {})) {
      exchange->deliver([](auto& observer) {
        observer.on_failure({http::HttpErrc::kReset, "reset"}, true);
      });
    }
  }
  /// Simulates a middlebox between a node and all back ends that resets their connections.
  void set_backends_unreachable(std::size_t number, bool unreachable) {
    nodes[number]->backends_unreachable = unreachable;
    if (unreachable) {
      nodes[number]->transport.reset_all();
    }
  }
  std::vector<FakeBackendServer*> servers_of(gateway::EngineRole role) {
    std::vector<FakeBackendServer*> found;
    for (const auto& server : servers) {
      if (server->backend.role == role) {
        found.push_back(server.get());
      }
    }
    return found;
  }
  /// Requests that the current nodes rejected as quarantined.
  std::uint64_t quarantine_rejections() const {
    std::uint64_t sum = 0;
    for (const auto& node : nodes) {
      sum += node->statistics.quarantined;
    }
    return sum;
  }
  /// Requests that the store holds, without prompt parts.
  std::size_t stored_requests() const {
    const std::string prefix = codec.layout().quarantine_prefix;
    const std::string part = gateway::RequestFingerprint{gateway::kPromptPartMark, 0}.to_hex();
    return static_cast<std::size_t>(
        std::count_if(state.items.begin(), state.items.end(), [&](const auto& item) {
          return item.first.starts_with(prefix) &&
                 !item.first.starts_with(prefix + part.substr(0, part.size() / 2));
        }));
  }
  /// Nodes that have exactly this number of requests in quarantine.
  std::size_t nodes_with_quarantined(std::size_t requests) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
          const std::vector<gateway::RequestFingerprint> quarantined =
              node->quarantine.ledger().requests(quarantine::SuspicionLevel::kQuarantined);
          return static_cast<std::size_t>(std::count_if(
                     quarantined.begin(), quarantined.end(),
                     [](const auto& request) { return !request.is_prompt_part(); })) == requests;
        }));
  }
  /// Nodes that have exactly these prompt parts of the service of engines in quarantine.
  std::size_t nodes_with_quarantined_parts(const std::vector<std::string>& ids) const {
    gateway::Prompt prompt;
    for (const std::string& id : ids) {
      prompt.parts.push_back({.id = id});
    }
    prompt.parts.emplace_back();
    const auto parts = gateway::fingerprints_of_parts(ServiceName("llm"), prompt);
    const std::set<gateway::RequestFingerprint> wanted(parts.begin(), parts.end());
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(),
        [&](const auto& node) { return node->quarantine.ledger().quarantined_parts() == wanted; }));
  }

  /// Connects a node to the back end of its request, then delivers the request.
  void connect_to_backend(std::size_t node, const std::shared_ptr<FleetExchange>& exchange) {
    FakeBackendServer& server = server_at(exchange->request.endpoint);
    if (server.connect_delay == Duration::zero()) {
      deliver_request(node, exchange, server);
      return;
    }
    time.schedule_after(server.connect_delay, [this, node, exchange, &server] {
      exchange->machine->when_awake([this, node, exchange, &server] {
        if (!exchange->open) {
          return;
        }
        if (exchange->request.may_send && !exchange->request.may_send()) {
          exchange->observer->on_failure({http::HttpErrc::kWithdrawn, "withdrawn"}, false);
          return;
        }
        deliver_request(node, exchange, server);
      });
    });
  }
  void deliver_request(std::size_t node, const std::shared_ptr<FleetExchange>& exchange,
                       FakeBackendServer& server) {
    time.schedule_after(1ms, [this, node, exchange, &server] {
      if (!exchange->open) {
        return;
      }
      if (!server.alive || nodes[node]->backends_unreachable) {
        exchange->deliver([](auto& observer) {
          observer.on_failure({http::HttpErrc::kConnect, "refused"}, false);
        });
        return;
      }
      const bool settled = time.now() - nodes[node]->last_fault_end > kSettlingTime;
      sends.push_back({time.now(), std::string(exchange->request.body.view()),
                       crashing_part_of(*exchange), settled, state.down});
      arrivals.push_back({.at = time.now(),
                          .node = node,
                          .server = server.backend.address,
                          .incarnation = server.incarnation,
                          .caller_sent_at = request_sent_at.at(std::string(http::find_header(
                              exchange->request.headers, gateway::HeaderNames().request_id))),
                          .last_interruption = nodes[node]->last_interruption,
                          .connected = settled && !nodes[node]->cut_off});
      serve(server, exchange);
    });
  }

  /// A request that reached a back end, for count_late_sends().
  struct Send {
    MonotonicTime at;
    std::string body;
    std::string crashing_part;  ///< A shared part of its prompt that crashes engines; empty: none.
    bool settled = true;        ///< The node's last fault ended more than `kSettlingTime` before.
    bool store_down = false;
  };

  /// A request that reached a back end.
  struct Arrival {
    MonotonicTime at;
    std::size_t node = 0;
    Endpoint server;
    std::uint32_t incarnation = 1;      ///< Of the back end.
    MonotonicTime caller_sent_at{};     ///< When the caller sent it.
    MonotonicTime last_interruption{};  ///< When the node last started or woke.
    bool connected = true;  ///< No fault of the node itself now or within `kSettlingTime`.
  };

  simulation::VirtualTime time;
  shared_store::testing::StoreState state{time};
  EncodedCodec codec;
  logging::NullLogger logger;

 private:
  CrashFleetOptions options_;
  std::uint64_t ids_ = 0;
  std::uint64_t node_incarnations_ = 0;

 public:
  SeededRandom random;
  std::vector<std::unique_ptr<FakeBackendServer>> servers;
  std::vector<std::unique_ptr<CrashNode>> nodes;
  std::set<std::string> crashing_bodies;  ///< Crash each engine that starts to run them.
  std::map<std::string, std::vector<MonotonicTime>> crashes;  ///< Of back ends, by body.
  /// Prompt parts that crash each engine that starts to run a request that shares them.
  std::set<std::string> crashing_parts;
  std::map<std::string, std::vector<MonotonicTime>> part_crashes;  ///< Of engines, by part.
  std::vector<Send> sends;
  std::vector<Arrival> arrivals;
  /// When a back end first sent a rate limit to a node, by node and address.
  std::map<std::pair<std::size_t, Endpoint>, MonotonicTime> first_rate_limit_at;
  /// A back-off or leaving header that a back end sent to a node.
  struct SentNotice {
    MonotonicTime at;
    std::size_t node = 0;
    Endpoint server;
    std::uint32_t incarnation = 1;
    Duration span{};  ///< The requested back-off.
  };
  std::vector<SentNotice> sent_backoffs;
  std::vector<SentNotice> sent_leaving_notices;              ///< First per incarnation and node.
  std::map<std::string, MonotonicTime> request_sent_at;      ///< By request id.
  std::map<std::string, RequestOutcomes> repeated_requests;  ///< Of send_repeatedly(), by body.
  RequestOutcomes ordinary_requests;

  void deliver_datagram(const CrashNode& from, const Endpoint& to, std::string_view bytes) {
    if (from.cut_off || random.chance(options_.loss)) {
      return;
    }
    time.schedule_after(random_duration(1ms, 2ms), [this, to, bytes = std::string(bytes)] {
      for (const auto& node : nodes) {
        if (node->record.peer_address == to && !node->cut_off) {
          node->machine.when_awake(
              [node = node.get(), bytes] { node->news.receive(bytes, node->machine.held_up()); });
        }
      }
    });
  }
  /// Transfers a view over a stream: completely after 10 ms, or not at all.
  void fetch_view(CrashNode& asker, const discovery::ViewRequest& request,
                  const discovery::TransferCallback& done) {
    time.schedule_after(10ms, [this, &asker, request, done] {
      std::optional<discovery::ViewTransfer> transfer;
      for (const auto& node : nodes) {
        if (node->record.peer_address == request.holder && !node->cut_off && !asker.cut_off) {
          transfer = node->watcher.make_transfer(request.after);
        }
      }
      asker.machine.when_awake([done, transfer] { done(transfer); });
    });
  }
  const CrashFleetOptions& options() const { return options_; }

 private:
  void add_servers(const std::string& service, gateway::EngineRole role, std::size_t count) {
    for (std::size_t i = 0; i != count; ++i) {
      auto server = std::make_unique<FakeBackendServer>();
      server->backend.service = ServiceName(service);
      server->backend.address = Endpoint("s" + std::to_string(servers.size()) + ":1");
      server->backend.zone = ZoneName("a");
      server->backend.slots = 64;
      server->backend.role = role;
      server->backend.version = gateway::SoftwareVersion("v1");
      servers.push_back(std::move(server));
      assign_id(*servers.back());
      register_server(*servers.back());
    }
  }
  void assign_id(FakeBackendServer& server) const {
    const std::string base = "i-" + server.backend.address.value();
    server.backend.id = options_.quick_restarts
                            ? gateway::make_backend_id(base, server.incarnation)
                            : gateway::BackendId(base + "-" + std::to_string(server.incarnation));
  }
  void register_server(const FakeBackendServer& server) {
    write("backends/" + std::string(gateway::backend_name(server.backend.id)),
          wire::encode(server.backend));
  }
  /// Registers that incarnation, with a later heartbeat if the store is down.
  void register_restarted(FakeBackendServer& server, std::uint32_t incarnation) {
    if (!options_.registration_needs_store || !state.down) {
      register_server(server);
      return;
    }
    time.schedule_after(1200ms, [this, &server, incarnation] {
      if (server.alive && server.incarnation == incarnation) {
        register_restarted(server, incarnation);
      }
    });
  }
  void start_node(std::size_t number) {
    nodes[number] = std::make_unique<CrashNode>(*this, number, ++node_incarnations_);
    write("nodes/" + nodes[number]->record.node.value(), wire::encode(nodes[number]->record));
    nodes[number]->watcher.start();
  }
  FakeBackendServer& server_at(const Endpoint& address) {
    return **std::find_if(servers.begin(), servers.end(),
                          [&](const auto& server) { return server->backend.address == address; });
  }

  void serve(FakeBackendServer& server, const std::shared_ptr<FleetExchange>& exchange) {
    const gateway::HeaderNames names;
    const auto header = [&](const std::string& wanted) {
      return http::find_header(exchange->request.headers, wanted);
    };
    if (header(names.expected_instance) != gateway::backend_name(server.backend.id)) {
      answer(server, exchange, 421, {}, "");
      return;
    }
    if (server.shedding && random.chance(server.shedding->chance)) {
      shed(server, exchange);
      return;
    }
    server.active_exchanges.push_back(exchange);
    if (header(names.phase) == names.phase_prefill) {
      time.schedule_after(random_duration(30ms, 60ms), [this, &server, exchange] {
        answer(server, exchange, 200, {}, "handle=1");
      });
      return;
    }
    const std::string part = crashing_part_of(*exchange);
    const std::string body(exchange->request.body.view());
    if (!part.empty() || crashing_bodies.contains(body)) {
      time.schedule_after(random_duration(20ms, 100ms), [this, &server, exchange, part, body] {
        if (is_active(server, exchange)) {
          (part.empty() ? crashes[body] : part_crashes[part]).push_back(time.now());
          crash(server);
        }
      });
      return;
    }
    if (server.backend.role == gateway::EngineRole::kDecode) {
      const auto last_event = http::parse_number(header(names.last_event)).value_or(0);
      time.schedule_after(random_duration(20ms, 150ms), [this, &server, exchange, last_event] {
        stream(server, exchange, static_cast<int>(last_event) + 1);
      });
      return;
    }
    time.schedule_after(random_duration(20ms, 100ms), [this, &server, exchange] {
      answer(server, exchange, 200, {signature()}, "answer");
    });
  }
  /// The first shared part of the request's prompt that crashes engines; empty: none.
  std::string crashing_part_of(const FleetExchange& exchange) const {
    const std::vector<std::string> parts = TestPrompt::parse(
        http::find_header(exchange.request.headers, gateway::HeaderNames().prompt_parts));
    const auto found = std::find_if(parts.begin(), parts.end(), [this](const std::string& part) {
      return crashing_parts.contains(part);
    });
    return found == parts.end() ? "" : *found;
  }
  static http::Header signature() { return {gateway::HeaderNames().signature, "sig"}; }
  void add_rate_limit(const FakeBackendServer& server, const FleetExchange& exchange,
                      std::vector<http::Header>& headers) {
    if (!server.rate_limit.empty()) {
      headers.push_back({gateway::HeaderNames().rate_limit, server.rate_limit});
      first_rate_limit_at.try_emplace({exchange.node, server.backend.address}, time.now());
    }
  }
  /// Rejects a request with status 503.
  void shed(FakeBackendServer& server, const std::shared_ptr<FleetExchange>& exchange) {
    const gateway::HeaderNames names;
    std::vector<http::Header> headers{{names.not_run, "1"}};
    if (!server.shedding->retry_after.empty()) {
      headers.push_back({names.retry_after, server.shedding->retry_after});
      sent_backoffs.push_back({.at = time.now(),
                               .node = exchange->node,
                               .server = server.backend.address,
                               .incarnation = server.incarnation,
                               .span = server.shedding->span});
    }
    answer(server, exchange, 503, std::move(headers), "");
  }
  void add_leaving(const FakeBackendServer& server, const FleetExchange& exchange,
                   std::vector<http::Header>& headers) {
    if (!server.sends_leaving_header) {
      return;
    }
    headers.push_back({gateway::HeaderNames().leaving, "1"});
    const bool known = std::any_of(
        sent_leaving_notices.begin(), sent_leaving_notices.end(), [&](const SentNotice& notice) {
          return notice.node == exchange.node && notice.server == server.backend.address &&
                 notice.incarnation == server.incarnation;
        });
    if (!known) {
      sent_leaving_notices.push_back({.at = time.now(),
                                      .node = exchange.node,
                                      .server = server.backend.address,
                                      .incarnation = server.incarnation});
    }
  }
  static bool is_active(const FakeBackendServer& server,
                        const std::shared_ptr<FleetExchange>& exchange) {
    return server.alive && std::find(server.active_exchanges.begin(), server.active_exchanges.end(),
                                     exchange) != server.active_exchanges.end();
  }
  void answer(FakeBackendServer& server, const std::shared_ptr<FleetExchange>& exchange,
              std::uint16_t status, std::vector<http::Header> headers, std::string_view body) {
    std::erase(server.active_exchanges, exchange);
    if (server.alive && exchange->open) {
      add_rate_limit(server, *exchange, headers);
      add_leaving(server, *exchange, headers);
      exchange->deliver(
          [status, headers = std::move(headers), body = std::string(body)](auto& observer) {
            observer.on_head({status, headers});
            observer.on_body(body);
            observer.on_complete();
          });
    }
  }
  void stream(FakeBackendServer& server, const std::shared_ptr<FleetExchange>& exchange,
              int event) {
    constexpr int kEvents = 4;
    if (!is_active(server, exchange) || !exchange->open) {
      std::erase(server.active_exchanges, exchange);
      return;
    }
    if (!exchange->head_sent) {
      exchange->head_sent = true;
      std::vector<http::Header> headers{signature()};
      add_rate_limit(server, *exchange, headers);
      add_leaving(server, *exchange, headers);
      exchange->deliver([headers](auto& observer) { observer.on_head({200, headers}); });
    }
    exchange->deliver([event, version = server.backend.version.value()](auto& observer) {
      observer.on_body("id: " + std::to_string(event) + "\ndata: " + version + "\n\n");
    });
    if (event == kEvents) {
      std::erase(server.active_exchanges, exchange);
      exchange->deliver([](auto& observer) { observer.on_complete(); });
      return;
    }
    time.schedule_after(50ms,
                        [this, &server, exchange, event] { stream(server, exchange, event + 1); });
  }
  /// Polls every 20 ms until the answer has ended.
  void await_answer(std::shared_ptr<gateway::testing::FakeCaller> caller,
                    std::function<void(int)> done) {
    if (!caller->ended()) {
      time.schedule_after(20ms,
                          [this, caller = std::move(caller), done = std::move(done)]() mutable {
                            await_answer(std::move(caller), std::move(done));
                          });
    } else if (done) {
      done(caller->finished ? caller->head.status : 0);
    }
  }
  static void count(RequestOutcomes& counts, int status) {
    ++counts.sent;
    ++(status == 200 ? counts.served : status == 503 ? counts.refused : counts.unknown);
  }

  std::vector<std::unique_ptr<CrashNode>> retired_;  ///< Timers may still refer to them.
};

inline std::unique_ptr<http::Exchange> FleetTransport::start(http::ClientRequest request,
                                                             http::ResponseObserver& observer) {
  exchanges_.push_back(std::make_shared<FleetExchange>());
  const auto exchange = exchanges_.back();
  exchange->request = std::move(request);
  exchange->observer = &observer;
  exchange->machine = &fleet_.nodes[node_]->machine;
  exchange->node = node_;
  exchange->self = exchange;
  fleet_.connect_to_backend(node_, exchange);
  return std::make_unique<Handle>(exchange);
}

inline NodeStreamRecords::NodeStreamRecords(CrashFleet& fleet, CrashNode& node)
    : random(node.record.peer_address.value().size()),
      records({node.clock, node.machine, random, fleet.logger, node.nodes, node.view,
               [this, &node](MonotonicTime as_of, auto done) {
                 node.watcher.confirm_view(as_of, [this, as_of, done](bool confirmed) {
                   if (confirmed) {
                     keeper.confirm(as_of, [done](bool /*confirmed*/) { done(); });
                   } else {
                     done();
                   }
                 });
               }},
              {.send_record = [&node](const Endpoint& to,
                                      const auto& record) { node.news.send(to, record); },
               .send_query = [&node](const Endpoint& to,
                                     const auto& query) { node.news.send(to, query); },
               .send_reply = [&node](const Endpoint& to,
                                     const auto& reply) { node.news.send(to, reply); }}),
      keeper({node.clock, node.machine, random, node.store, fleet.logger, records.history(),
              node.view},
             {.key = "software-history",
              .is_first_choice = [&node] { return node.news.channel().is_first_relay(); },
              .node_count = [&node] { return node.nodes.count(); }}) {}

inline void NodeStreamRecords::connect(CrashNode& node) {
  node.news.on_stream_records(
      {.receive = [this](const auto& record) { records.receive(record); },
       .receive_query = [this](const auto& query) { records.receive(query); },
       .receive_reply = [this](const auto& reply) { records.receive(reply); },
       .receive_history = [this](const auto& report) { records.history().receive(report); },
       .report_history = [this](auto send) { records.report_history(std::move(send)); }});
  keeper.start();
}

inline CrashNode::CrashNode(CrashFleet& fleet, std::size_t number, std::uint64_t incarnation)
    : machine(fleet.time),
      clock(fleet.options().clock_stops_when_suspended ? machine.still_clock() : machine.clock()),
      random(incarnation),
      limiter_random(incarnation),
      record{NodeId("n" + std::to_string(number)), Endpoint("front"),
             ZoneName(number % 3 == 0   ? "a"
                      : number % 3 == 1 ? "b"
                                        : "c"),
             Endpoint("n" + std::to_string(number)), 200},
      nodes(clock, record),
      placement(view, loads, random, record.zone),
      shares(random),
      transport(fleet, number),
      store(fleet.time, fleet.state, machine),
      watcher({clock, machine, random, store, fleet.codec, fleet.logger},
              discovery::settings_for_staleness_bound(2s), view, nodes),
      news(
          {clock, machine, random, view, loads, nodes, watcher},
          {.peer_address = record.peer_address,
           .view_address = record.peer_address,
           .relays = {.min_nodes = fleet.options().relay_from_nodes},
           .relay_batch_window = 10ms},
          [this, &fleet](const Endpoint& to, std::string_view bytes) {
            fleet.deliver_datagram(*this, to, bytes);
          },
          [this](const Endpoint& view_address) { offered_view_address = view_address; }),
      quarantine(
          {clock, machine, random, store, fleet.logger, view},
          {.key_prefix = fleet.codec.layout().quarantine_prefix, .node = record.node},
          {.probe = [this, &fleet](const Endpoint& address,
                                   auto done) { fleet.probe(*this, address, std::move(done)); },
           .broadcast = [this](const auto& report) { news.broadcast_crashes(report); },
           .broadcast_to_zone =
               [this](const auto& report) { news.broadcast_crashes_to_zone(report); },
           .request_horizon = [this] { news.request_horizon(); },
           .node_count = [this] { return nodes.count(); }}),
      rate_limiter(
          {clock, machine, limiter_random, fleet.logger, view, nodes},
          {.broadcast = [this](const auto& report) { news.broadcast_limits(report); },
           .send = [this](const Endpoint& to, const auto& report) { news.send(to, report); },
           .send_request = [this](const Endpoint& to,
                                  const auto& report) { news.send(to, report); },
           .send_reply = [this](const Endpoint& to,
                                const auto& report) { news.send(to, report); }}),
      admission({clock, limiter_random, fleet.logger, view, loads, rate_limiter},
                [this](const auto& report) { news.broadcast_notice(report); }),
      streams(fleet.options().stream_records_enabled
                  ? std::make_unique<NodeStreamRecords>(fleet, *this)
                  : nullptr),
      gateway({clock,
               machine,
               transport,
               view,
               loads,
               placement,
               budget,
               unanswered,
               shares,
               names,
               engines,
               statistics,
               fleet.logger,
               [this] { return nodes.conservative_count(); },
               {},
               fleet.options().quarantine_enabled ? &quarantine : nullptr,
               fleet.options().rate_limiting_enabled ? &admission : nullptr,
               nullptr,
               nullptr,
               nullptr,
               streams ? &streams->records : nullptr},
              [this](auto done) { watcher.refresh_configuration(std::move(done)); }) {
  for (std::uint32_t i = 0; i != fleet.options().skipped_draws; ++i) {
    random.next();
  }
  view.on_applied([this] {
    if (streams) {
      streams->records.history().note_routes();
    }
  });
  view.on_added([this](const gateway::Backend& backend) {
    admission.note_backend_added(backend.id);
    if (streams) {
      streams->keeper.note_added(backend);
    }
  });
  view.on_role_changed([this](const gateway::Backend& former, const gateway::Backend& now) {
    if (streams) {
      streams->records.history().note_removed(former);
      streams->keeper.note_added(now);
    }
  });
  view.on_removed([this](const gateway::Backend& backend) {
    loads.forget(backend.id);
    news.forget(backend.id);
    quarantine.note_backend_removed(backend);
    rate_limiter.forget(backend.id);
    if (streams) {
      streams->records.history().note_removed(backend);
    }
  });
  quarantine.on_quarantined([this](const auto& request) { gateway.on_quarantined(request); });
  watcher.on_other_key(
      [this](const auto& key, const auto& value) { quarantine.apply_store_change(key, value); });
  news.on_crashes(
      {.receive = [this](const auto& report) { quarantine.receive(report); },
       .receive_for_relay = [this](const auto& report) { quarantine.receive_for_relay(report); },
       .send_all = [this](const auto& send) { quarantine.send_all(send); },
       .receive_horizon = [this](const auto& report) { quarantine.receive(report); },
       .horizon = [this] { return quarantine.horizon(); }});
  watcher.on_first_listing([this] { quarantine.on_first_listing(); });
  news.on_limits({.receive = [this](const auto& report) { rate_limiter.receive(report); },
                  .receive_request = [this](const auto& report) { rate_limiter.receive(report); },
                  .receive_reply = [this](const auto& report) { rate_limiter.receive(report); },
                  .send_all = [this](const auto& send) { rate_limiter.send_all(send); }});
  news.on_notices({.receive = [this](const auto& report) { admission.receive(report); },
                   .send_all = [this](const auto& send) { admission.send_all(send); }});
  watcher.on_store_state([this](bool reachable) {
    news.on_store_state(reachable);
    quarantine.on_store_state(reachable);
  });
  watcher.on_view_needed([this, &fleet](auto done) {
    fleet.fetch_view(*this, {offered_view_address, {}}, std::move(done));
  });
  watcher.on_fetch_needed([this, &fleet](const auto& request, auto done) {
    fleet.fetch_view(*this, request, std::move(done));
  });
  watcher.on_reading_assignment([this] { return news.channel().reading_assignment(); });
  watcher.on_new_era([this] {
    if (streams) {
      streams->keeper.on_store_rolled_back();
    }
  });
  watcher.on_view_replaced([this] {
    if (streams) {
      streams->records.history().note_view_replaced();
    }
  });
  watcher.on_view_current([this] {
    if (streams) {
      streams->records.history().note_view_current();
      streams->keeper.on_view_current();
    }
    quarantine.on_store_available();
    if (!std::exchange(requested_state, true)) {
      news.request_cached_parts();
    }
  });
  quarantine.start();
  if (streams) {
    streams->connect(*this);
  }
}

}  // namespace ochrespring::gateway_node::testing
