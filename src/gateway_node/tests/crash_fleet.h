// Nodes before servers that end, under virtual time: gateways, their views of the fleet and their
// news, before one store, with callers that come again.
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
#include "gateway/tests/gateway_fixture.h"
#include "gateway_node/peer_exchange.h"
#include "logging/logger.h"
#include "quarantine/quarantine.h"
#include "rate_limit/rate_limiter.h"
#include "shared_store/tests/memory_store.h"
#include "simulation/suspendable_machine.h"
#include "simulation/virtual_time.h"
#include "wire/codec.h"

namespace ochrespring::gateway_node::testing {

using namespace std::chrono_literals;

/// Back ends as they are encoded between nodes, and configurations by their numbers; from the
/// second on there is a route more.
class EncodedCodec final : public discovery::FleetCodec {
 public:
  const discovery::StoreLayout& layout() const override { return layout_; }
  Result<gateway::Configuration, discovery::CodecError> read_configuration(
      std::string_view value) const override {
    using gateway::testing::GatewayFixture;
    const std::uint64_t version = std::stoul(std::string(value));
    gateway::Configuration configuration = GatewayFixture::make_configuration(version);
    if (version > 1) {
      configuration.routes.push_back(GatewayFixture::make_route(
          "/added/", gateway::RequestKind::kIdempotent, "relay", 2, false));
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

/// A request on its way to a server, or at it.
struct FleetExchange {
  /// Tells the node, once it runs.
  void tell(std::function<void(http::ResponseObserver&)> what);

  http::ClientRequest request;
  http::ResponseObserver* observer = nullptr;
  bool open = true;
  bool head_sent = false;
  simulation::SuspendableMachine* machine = nullptr;  ///< Of the node.
  std::size_t node = 0;
  std::weak_ptr<FleetExchange> self;
};

inline void FleetExchange::tell(std::function<void(http::ResponseObserver&)> what) {
  machine->when_awake([exchange = self.lock(), what = std::move(what)] {
    if (exchange->open) {
      what(*exchange->observer);
    }
  });
}

/// A server, life after life at one address.
struct PlayedServer {
  gateway::Backend backend;
  bool alive = true;
  std::uint32_t lives = 1;
  std::string rate_limit;  ///< Named in its answers; empty: none.
  /// How it turns requests away, if it does.
  struct Shedding {
    double chance = 1;
    std::string retry_after;  ///< Named with it; empty: none.
    Duration span{};          ///< That this stands for.
  };
  std::optional<Shedding> shedding;
  Duration connect_delay{};   ///< Until it accepts a connection.
  bool says_leaving = false;  ///< In all its answers; the store says nothing of it.
  std::vector<std::shared_ptr<FleetExchange>> at_work;
};

class CrashFleet;

class FleetTransport final : public gateway::BackendTransport {
 public:
  FleetTransport(CrashFleet& fleet, std::size_t node) : fleet_(fleet), node_(node) {}
  std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                        http::ResponseObserver& observer) override;
  bool has_idle_connection(const Endpoint& /*endpoint*/) const override { return true; }
  void send_and_forget(http::ClientRequest /*request*/) override {}

  void reset_all() {
    for (const auto& exchange : std::exchange(exchanges_, {})) {
      exchange->tell([](auto& observer) {
        observer.on_failure({http::HttpErrc::kReset, "reset"}, true);
      });
    }
  }
  /// The process has ended: its connections are closed.
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

   private:
    std::shared_ptr<FleetExchange> exchange_;
  };

  CrashFleet& fleet_;
  std::size_t node_;
  std::vector<std::shared_ptr<FleetExchange>> exchanges_;
};

struct CrashNode {
  CrashNode(CrashFleet& fleet, std::size_t number, std::uint64_t life);

  simulation::SuspendableMachine machine;
  const Clock& clock;
  bool cut_off = false;         ///< From all other nodes.
  bool asked = false;           ///< Other nodes, for what they know.
  Endpoint offered_at;          ///< The last node that offered its view.
  bool refused = false;         ///< Cut off from servers by something that resets.
  MonotonicTime touched{};      ///< Last end of a fault of this node.
  MonotonicTime interrupted{};  ///< Last start, or end of a suspension.
  SeededRandom random;
  /// Apart, so that what the others draw does not depend on the rate limiter.
  SeededRandom limiter_random;
  discovery::NodeRecord record;
  discovery::NodeDirectory nodes;
  gateway::FleetState view;
  gateway::LoadTable loads;
  gateway::Placement placement;
  gateway::RetryBudget budget{{0.2, 52, 10s}};
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
  gateway::Gateway gateway;
};

struct CrashFleetOptions {
  std::size_t nodes = 6;
  std::size_t readers = 4;
  std::size_t runners = 5;
  std::size_t relays = 3;  ///< Servers of the ordinary service.
  double loss = 0;         ///< Of datagrams between nodes.
  std::uint64_t seed = 7;
  std::uint32_t relay_from_nodes = 48;
  bool still_clock = false;  ///< Nodes go by a clock that stands still while they are suspended.
  bool reborn = false;       ///< Servers start again soon, under their names.
  bool guarded = true;       ///< Without: what the quarantine is worth.
  bool rate_limited = true;  ///< Without: nodes keep no rate limits of servers.
  std::uint32_t drawn = 0;   ///< Numbers that each node's generator has given before.
};

/// What became of one caller's requests.
struct CallerCounts {
  std::uint32_t sent = 0;
  std::uint32_t served = 0;
  std::uint32_t refused = 0;  ///< 503.
  std::uint32_t unknown = 0;  ///< 502, 504 or a broken stream.
};

class CrashFleet {
 public:
  /// Without a fault for this long a machine is bound by what follows the third end.
  static constexpr Duration kContact{3s};

  explicit CrashFleet(const CrashFleetOptions& options) : options_(options), random(options.seed) {
    write("config", "1");
    add_servers("llm", gateway::EngineRole::kPrefill, options.readers);
    add_servers("llm", gateway::EngineRole::kDecode, options.runners);
    add_servers("relay", gateway::EngineRole::kNone, options.relays);
    for (std::size_t i = 0; i != options.nodes; ++i) {
      nodes.push_back(nullptr);
      start_node(i);
    }
    advance(12s);
  }

  void advance(Duration span) { time.run_until(time.now() + span); }
  Duration draw(Duration least, Duration most) {
    return least + from_seconds(to_seconds(most - least) * random.unit());
  }

  void write(const std::string& key, const std::string& value) {
    REQUIRE(state.commit({.conditions = {}, .writes = {{key, value, {}}}, .removals = {}}));
  }
  void suspend(std::size_t number, Duration span) {
    nodes[number]->machine.suspend(span);
    nodes[number]->touched = time.now() + span;
    nodes[number]->interrupted = time.now() + span;
  }
  /// Cuts a node off from all other nodes.
  void cut_off(std::size_t number, Duration span) {
    nodes[number]->cut_off = true;
    time.schedule_after(span, [this, number] {
      nodes[number]->cut_off = false;
      nodes[number]->touched = time.now();
    });
  }
  /// Kills a node's process; it starts again at once and knows nothing.
  void restart(std::size_t number) {
    nodes[number]->transport.close_all();
    nodes[number]->cut_off = true;
    nodes[number]->store.partitioned = true;
    retired_.push_back(std::move(nodes[number]));
    start_node(number);
    nodes[number]->touched = time.now();
    nodes[number]->interrupted = time.now();
  }

  /// One request of a caller at a node; `done` is told the status, 0 for a broken answer.
  void send(std::size_t node, const std::string& path, const std::string& body,
            std::function<void(int)> done = {}) {
    await(ask(node, path, body), std::move(done));
  }
  /// One request of a caller at a node.
  std::shared_ptr<gateway::testing::FakeCaller> ask(std::size_t node, const std::string& path,
                                                    const std::string& body) {
    auto caller = std::make_shared<gateway::testing::FakeCaller>();
    const gateway::HeaderNames names;
    std::vector<http::Header> headers{
        {"host", "h"},
        {"x-request-id", "r" + std::to_string(++ids_)},
        {names.deadline, "5000"},
        {names.prompt_parts, "aa:6300," + std::to_string(ids_) + ":2000"},
        {names.token_counts, "8300,20"}};
    asked_at["r" + std::to_string(ids_)] = time.now();
    nodes[node]->machine.when_awake([gateway = &nodes[node]->gateway, caller, path, body, headers] {
      gateway->handle({"POST", path, "", headers, body}, caller);
    });
    return caller;
  }

  /// A caller sends `body` again and again, to any node, until the time is over.
  void repeat(const std::string& path, const std::string& body, Duration pause, Duration span) {
    if (span <= Duration::zero()) {
      return;
    }
    send(random.below(nodes.size()), path, body,
         [this, body](int status) { count(callers[body], status); });
    const Duration wait = draw(pause / 2, pause * 3 / 2);
    time.schedule_after(
        wait, [this, path, body, pause, span, wait] { repeat(path, body, pause, span - wait); });
  }

  /// Requests of a body each, of all kinds; each comes again once where that is safe.
  void traffic(double per_second, Duration span) {
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
               [this](int again) { count(innocents, again); });
        });
        return;
      }
      count(innocents, status);
    });
    const Duration wait = from_seconds(random.exponential(1 / per_second));
    time.schedule_after(wait, [this, per_second, span, wait] { traffic(per_second, span - wait); });
  }

  /// Ends a server and all that runs there; it is back after some seconds, under a new id.
  void crash(PlayedServer& server) {
    server.alive = false;
    const std::string id = server.backend.id.value();
    for (const auto& exchange : std::exchange(server.at_work, {})) {
      const auto code = exchange->head_sent ? http::HttpErrc::kTruncated : http::HttpErrc::kReset;
      exchange->tell([code](auto& observer) { observer.on_failure({code, "ended"}, true); });
    }
    if (!options_.reborn) {
      time.schedule_after(3600ms, [this, id] { state.remove("backends/" + id); });
    }
    const Duration away = options_.reborn ? draw(300ms, 1200ms) : draw(2s, 3500ms);
    time.schedule_after(away, [this, &server] {
      ++server.lives;
      name(server);
      server.alive = true;
      // At once, or, should that call be lost, with the next heartbeat.
      const Duration until_registered = options_.reborn ? draw(200ms, 1200ms) : Duration(200ms);
      time.schedule_after(until_registered, [this, &server] { register_server(server); });
    });
  }

  /// Sends of a body to servers, by machines in touch, later than `kContact` after the third end
  /// under it. With the time at which an outage of the store ended: without those during it and
  /// until `kContact` after it.
  std::size_t late_sends(const std::string& body,
                         std::optional<MonotonicTime> store_back = {}) const {
    const auto found = ends.find(body);
    if (found == ends.end() || found->second.size() < 3) {
      return 0;
    }
    const MonotonicTime bound = found->second[2] + kContact;
    return static_cast<std::size_t>(
        std::count_if(sends.begin(), sends.end(), [&](const Send& send) {
          const bool unsettled =
              store_back &&
              (send.store_down || (send.at >= *store_back && send.at <= *store_back + kContact));
          return send.body == body && send.at > bound && send.in_touch && !unsettled;
        }));
  }

  void probe(CrashNode& node, const Endpoint& address,
             std::function<void(http::ProbeResult)> done) {
    time.schedule_after(2ms, [this, &node, address, done = std::move(done)] {
      const bool accepted = server_at(address).alive && !node.refused;
      node.machine.when_awake([accepted, done] {
        done(accepted ? http::ProbeResult::kAccepted : http::ProbeResult::kRefused);
      });
    });
  }
  /// Resets all connections between nodes and a server that goes on.
  void reset_connections(PlayedServer& server) {
    for (const auto& exchange : std::exchange(server.at_work, {})) {
      exchange->tell([](auto& observer) {
        observer.on_failure({http::HttpErrc::kReset, "reset"}, true);
      });
    }
  }
  /// Something between a node and all servers resets what goes through it.
  void refuse_servers(std::size_t number, bool refused) {
    nodes[number]->refused = refused;
    if (refused) {
      nodes[number]->transport.reset_all();
    }
  }
  std::vector<PlayedServer*> servers_of(gateway::EngineRole role) {
    std::vector<PlayedServer*> found;
    for (const auto& server : servers) {
      if (server->backend.role == role) {
        found.push_back(server.get());
      }
    }
    return found;
  }
  /// Requests that were ended as quarantined, by all nodes there are now.
  std::uint64_t quarantine_ends() const {
    std::uint64_t sum = 0;
    for (const auto& node : nodes) {
      sum += node->statistics.quarantined;
    }
    return sum;
  }
  /// Nodes that hold a number of requests in quarantine.
  std::size_t nodes_with_quarantined(std::size_t requests) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
          return node->quarantine.ledger().count(quarantine::SuspicionLevel::kQuarantined) ==
                 requests;
        }));
  }

  /// One request that arrives at a server.
  void accept(std::size_t node, const std::shared_ptr<FleetExchange>& exchange) {
    PlayedServer& server = server_at(exchange->request.endpoint);
    if (server.connect_delay == Duration::zero()) {
      arrive(node, exchange, server);
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
        arrive(node, exchange, server);
      });
    });
  }
  void arrive(std::size_t node, const std::shared_ptr<FleetExchange>& exchange,
              PlayedServer& server) {
    time.schedule_after(1ms, [this, node, exchange, &server] {
      if (!exchange->open) {
        return;
      }
      if (!server.alive || nodes[node]->refused) {
        exchange->tell([](auto& observer) {
          observer.on_failure({http::HttpErrc::kConnect, "refused"}, false);
        });
        return;
      }
      const bool in_touch = time.now() - nodes[node]->touched > kContact;
      sends.push_back({time.now(), exchange->request.body, in_touch, state.down});
      arrivals.push_back({.at = time.now(),
                          .node = node,
                          .server = server.backend.address,
                          .life = server.lives,
                          .asked = asked_at.at(std::string(http::find_header(
                              exchange->request.headers, gateway::HeaderNames().request_id))),
                          .interrupted = nodes[node]->interrupted,
                          .in_touch = in_touch && !nodes[node]->cut_off});
      serve(server, exchange);
    });
  }

  struct Send {
    MonotonicTime at;
    std::string body;
    bool in_touch = true;
    bool store_down = false;
  };

  /// A request that has come to a server.
  struct Arrival {
    MonotonicTime at;
    std::size_t node = 0;
    Endpoint server;
    std::uint32_t life = 1;       ///< Of the server.
    MonotonicTime asked{};        ///< When the caller sent it.
    MonotonicTime interrupted{};  ///< When the node last started or woke.
    bool in_touch = true;         ///< The node is not, and was not of late, in a fault of its own.
  };

  simulation::VirtualTime time;
  shared_store::testing::StoreState state{time};
  EncodedCodec codec;
  logging::NullLogger logger;

 private:
  CrashFleetOptions options_;
  std::uint64_t ids_ = 0;
  std::uint64_t node_lives_ = 0;

 public:
  SeededRandom random;
  std::vector<std::unique_ptr<PlayedServer>> servers;
  std::vector<std::unique_ptr<CrashNode>> nodes;
  std::set<std::string> guilty;  ///< Bodies that end each server that begins to run them.
  std::map<std::string, std::vector<MonotonicTime>> ends;  ///< Of servers, by body.
  std::vector<Send> sends;
  std::vector<Arrival> arrivals;
  /// When a node was first given an answer that named a rate limit, by node and server.
  std::map<std::pair<std::size_t, Endpoint>, MonotonicTime> told_limits;
  /// What a server told a node of itself.
  struct Told {
    MonotonicTime at;
    std::size_t node = 0;
    Endpoint server;
    std::uint32_t life = 1;
    Duration span{};  ///< For which it wants nothing from the node.
  };
  std::vector<Told> told_backoffs;
  std::vector<Told> told_leavings;                ///< The first of each life and node.
  std::map<std::string, MonotonicTime> asked_at;  ///< By request.
  std::map<std::string, CallerCounts> callers;    ///< Of repeat(), by body.
  CallerCounts innocents;

  void carry(const CrashNode& from, const Endpoint& to, std::string_view bytes) {
    if (from.cut_off || random.chance(options_.loss)) {
      return;
    }
    time.schedule_after(draw(1ms, 2ms), [this, to, bytes = std::string(bytes)] {
      for (const auto& node : nodes) {
        if (node->record.peer_address == to && !node->cut_off) {
          node->machine.when_awake(
              [node = node.get(), bytes] { node->news.receive(bytes, node->machine.held_up()); });
        }
      }
    });
  }
  /// A view, over a stream: at once or not at all.
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
      auto server = std::make_unique<PlayedServer>();
      server->backend.service = ServiceName(service);
      server->backend.address = Endpoint("s" + std::to_string(servers.size()) + ":1");
      server->backend.zone = ZoneName("a");
      server->backend.slots = 64;
      server->backend.role = role;
      servers.push_back(std::move(server));
      name(*servers.back());
      register_server(*servers.back());
    }
  }
  void name(PlayedServer& server) const {
    const std::string base = "i-" + server.backend.address.value();
    server.backend.id = options_.reborn
                            ? gateway::make_backend_id(base, server.lives)
                            : gateway::BackendId(base + "-" + std::to_string(server.lives));
  }
  void register_server(const PlayedServer& server) {
    write("backends/" + std::string(gateway::backend_name(server.backend.id)),
          wire::encode(server.backend));
  }
  void start_node(std::size_t number) {
    nodes[number] = std::make_unique<CrashNode>(*this, number, ++node_lives_);
    write("nodes/" + nodes[number]->record.node.value(), wire::encode(nodes[number]->record));
    nodes[number]->watcher.start();
  }
  PlayedServer& server_at(const Endpoint& address) {
    return **std::find_if(servers.begin(), servers.end(),
                          [&](const auto& server) { return server->backend.address == address; });
  }

  void serve(PlayedServer& server, const std::shared_ptr<FleetExchange>& exchange) {
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
    server.at_work.push_back(exchange);
    if (header(names.phase) == names.phase_prefill) {
      time.schedule_after(draw(30ms, 60ms), [this, &server, exchange] {
        answer(server, exchange, 200, {}, "handle=1");
      });
      return;
    }
    if (guilty.contains(exchange->request.body)) {
      time.schedule_after(draw(20ms, 100ms), [this, &server, exchange] {
        if (holds(server, exchange)) {
          ends[exchange->request.body].push_back(time.now());
          crash(server);
        }
      });
      return;
    }
    if (server.backend.role == gateway::EngineRole::kDecode) {
      time.schedule_after(draw(20ms, 150ms),
                          [this, &server, exchange] { stream(server, exchange, 1); });
      return;
    }
    time.schedule_after(draw(20ms, 100ms), [this, &server, exchange] {
      answer(server, exchange, 200, {signature()}, "answer");
    });
  }
  static http::Header signature() { return {gateway::HeaderNames().signature, "sig"}; }
  void add_rate_limit(const PlayedServer& server, const FleetExchange& exchange,
                      std::vector<http::Header>& headers) {
    if (!server.rate_limit.empty()) {
      headers.push_back({gateway::HeaderNames().rate_limit, server.rate_limit});
      told_limits.try_emplace({exchange.node, server.backend.address}, time.now());
    }
  }
  /// Turns a request away.
  void shed(PlayedServer& server, const std::shared_ptr<FleetExchange>& exchange) {
    const gateway::HeaderNames names;
    std::vector<http::Header> headers{{names.not_run, "1"}};
    if (!server.shedding->retry_after.empty()) {
      headers.push_back({names.retry_after, server.shedding->retry_after});
      told_backoffs.push_back({.at = time.now(),
                               .node = exchange->node,
                               .server = server.backend.address,
                               .life = server.lives,
                               .span = server.shedding->span});
    }
    answer(server, exchange, 503, std::move(headers), "");
  }
  void add_leaving(const PlayedServer& server, const FleetExchange& exchange,
                   std::vector<http::Header>& headers) {
    if (!server.says_leaving) {
      return;
    }
    headers.push_back({gateway::HeaderNames().leaving, "1"});
    const bool known =
        std::any_of(told_leavings.begin(), told_leavings.end(), [&](const Told& told) {
          return told.node == exchange.node && told.server == server.backend.address &&
                 told.life == server.lives;
        });
    if (!known) {
      told_leavings.push_back({.at = time.now(),
                               .node = exchange.node,
                               .server = server.backend.address,
                               .life = server.lives});
    }
  }
  static bool holds(const PlayedServer& server, const std::shared_ptr<FleetExchange>& exchange) {
    return server.alive && std::find(server.at_work.begin(), server.at_work.end(), exchange) !=
                               server.at_work.end();
  }
  void answer(PlayedServer& server, const std::shared_ptr<FleetExchange>& exchange,
              std::uint16_t status, std::vector<http::Header> headers, std::string_view body) {
    std::erase(server.at_work, exchange);
    if (server.alive && exchange->open) {
      add_rate_limit(server, *exchange, headers);
      add_leaving(server, *exchange, headers);
      exchange->tell(
          [status, headers = std::move(headers), body = std::string(body)](auto& observer) {
            observer.on_head({status, headers});
            observer.on_body(body);
            observer.on_complete();
          });
    }
  }
  void stream(PlayedServer& server, const std::shared_ptr<FleetExchange>& exchange, int event) {
    constexpr int kEvents = 4;
    if (!holds(server, exchange) || !exchange->open) {
      std::erase(server.at_work, exchange);
      return;
    }
    if (!exchange->head_sent) {
      exchange->head_sent = true;
      std::vector<http::Header> headers{signature()};
      add_rate_limit(server, *exchange, headers);
      add_leaving(server, *exchange, headers);
      exchange->tell([headers](auto& observer) { observer.on_head({200, headers}); });
    }
    exchange->tell([event](auto& observer) {
      observer.on_body("id: " + std::to_string(event) + "\ndata: x\n\n");
    });
    if (event == kEvents) {
      std::erase(server.at_work, exchange);
      exchange->tell([](auto& observer) { observer.on_complete(); });
      return;
    }
    time.schedule_after(50ms,
                        [this, &server, exchange, event] { stream(server, exchange, event + 1); });
  }
  /// Looks now and then whether an answer has ended.
  void await(std::shared_ptr<gateway::testing::FakeCaller> caller, std::function<void(int)> done) {
    if (!caller->ended()) {
      time.schedule_after(20ms,
                          [this, caller = std::move(caller), done = std::move(done)]() mutable {
                            await(std::move(caller), std::move(done));
                          });
    } else if (done) {
      done(caller->finished ? caller->head.status : 0);
    }
  }
  static void count(CallerCounts& counts, int status) {
    ++counts.sent;
    ++(status == 200 ? counts.served : status == 503 ? counts.refused : counts.unknown);
  }

  std::vector<std::unique_ptr<CrashNode>> retired_;  ///< Timers may still name them.
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
  fleet_.accept(node_, exchange);
  return std::make_unique<Handle>(exchange);
}

inline CrashNode::CrashNode(CrashFleet& fleet, std::size_t number, std::uint64_t life)
    : machine(fleet.time),
      clock(fleet.options().still_clock ? machine.still_clock() : machine.clock()),
      random(life),
      limiter_random(life),
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
            fleet.carry(*this, to, bytes);
          },
          [this](const Endpoint& view_address) { offered_at = view_address; }),
      quarantine(
          {clock, machine, random, store, fleet.logger, view},
          {.key_prefix = fleet.codec.layout().quarantine_prefix, .node = record.node},
          {.probe = [this, &fleet](const Endpoint& address,
                                   auto done) { fleet.probe(*this, address, std::move(done)); },
           .broadcast = [this](const auto& told) { news.broadcast_crashes(told); },
           .broadcast_to_zone = [this](const auto& told) { news.broadcast_crashes_to_zone(told); },
           .request_horizon = [this] { news.request_horizon(); },
           .node_count = [this] { return nodes.count(); }}),
      rate_limiter(
          {clock, machine, limiter_random, fleet.logger, view, nodes},
          {.broadcast = [this](const auto& told) { news.broadcast_limits(told); },
           .send = [this](const Endpoint& to, const auto& told) { news.send(to, told); },
           .send_request = [this](const Endpoint& to, const auto& told) { news.send(to, told); },
           .send_reply = [this](const Endpoint& to, const auto& told) { news.send(to, told); }}),
      admission({clock, limiter_random, fleet.logger, view, loads, rate_limiter},
                [this](const auto& told) { news.broadcast_notice(told); }),
      gateway({clock,
               machine,
               transport,
               view,
               loads,
               placement,
               budget,
               shares,
               names,
               engines,
               statistics,
               fleet.logger,
               [this] { return nodes.conservative_count(); },
               {},
               fleet.options().guarded ? &quarantine : nullptr,
               fleet.options().rate_limited ? &admission : nullptr},
              [this](auto done) { watcher.refresh_configuration(std::move(done)); }) {
  for (std::uint32_t i = 0; i != fleet.options().drawn; ++i) {
    random.next();
  }
  view.on_added(
      [this](const gateway::Backend& backend) { admission.note_backend_added(backend.id); });
  view.on_removed([this](const gateway::Backend& backend) {
    loads.forget(backend.id);
    news.forget(backend.id);
    quarantine.note_backend_removed(backend);
    rate_limiter.forget(backend.id);
  });
  quarantine.on_quarantined([this](const auto& request) { gateway.on_quarantined(request); });
  watcher.on_other_key(
      [this](const auto& key, const auto& value) { quarantine.apply_store_change(key, value); });
  news.on_crashes(
      {.receive = [this](const auto& told) { quarantine.receive(told); },
       .receive_for_relay = [this](const auto& told) { quarantine.receive_for_relay(told); },
       .send_all = [this](const auto& send) { quarantine.send_all(send); },
       .receive_horizon = [this](const auto& told) { quarantine.receive(told); },
       .horizon = [this] { return quarantine.horizon(); }});
  watcher.on_first_listing([this] { quarantine.on_first_listing(); });
  news.on_limits({.receive = [this](const auto& told) { rate_limiter.receive(told); },
                  .receive_request = [this](const auto& told) { rate_limiter.receive(told); },
                  .receive_reply = [this](const auto& told) { rate_limiter.receive(told); },
                  .send_all = [this](const auto& send) { rate_limiter.send_all(send); }});
  news.on_notices({.receive = [this](const auto& told) { admission.receive(told); },
                   .send_all = [this](const auto& send) { admission.send_all(send); }});
  watcher.on_store_state([this](bool reachable) { news.on_store_state(reachable); });
  watcher.on_view_needed([this, &fleet](auto done) {
    fleet.fetch_view(*this, {offered_at, {}}, std::move(done));
  });
  watcher.on_fetch_needed([this, &fleet](const auto& request, auto done) {
    fleet.fetch_view(*this, request, std::move(done));
  });
  watcher.on_reading_assignment([this] { return news.channel().reading_assignment(); });
  watcher.on_view_current([this] {
    quarantine.on_store_available();
    if (!std::exchange(asked, true)) {
      news.request_cached_parts();
    }
  });
  quarantine.start();
}

}  // namespace ochrespring::gateway_node::testing
