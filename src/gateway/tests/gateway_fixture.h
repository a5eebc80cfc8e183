// A gateway under virtual time with fake back ends and callers that the test controls.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "gateway/gateway.h"
#include "simulation/virtual_time.h"

namespace ochrespring::gateway::testing {

/// One exchange that the gateway has started. The test answers it through `observer` while it is
/// `open`.
struct FakeExchange {
  http::ClientRequest request;
  http::ResponseObserver* observer = nullptr;
  bool open = true;
  bool reading = true;       ///< The gateway reads the answer.
  bool request_sent = true;  ///< The request has left the gateway.

  std::string header(std::string_view name) const {
    return std::string(http::find_header(request.headers, name));
  }
  void answer(std::uint16_t status, std::vector<http::Header> headers, std::string_view body) {
    REQUIRE(open);
    observer->on_head({status, std::move(headers)});
    if (open && !body.empty()) {
      observer->on_body(body);
    }
    if (open) {
      observer->on_complete();
    }
  }
  void fail(http::HttpErrc code, bool sent) {
    REQUIRE(open);
    request_sent = sent;
    observer->on_failure({code, "injected"}, sent);
  }
};

class FakeTransport final : public BackendTransport {
 public:
  std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                        http::ResponseObserver& observer) override {
    started.push_back(std::make_shared<FakeExchange>());
    started.back()->request = std::move(request);
    started.back()->observer = &observer;
    return std::make_unique<Handle>(started.back());
  }
  bool has_idle_connection(const Endpoint& endpoint) const override {
    return connected.contains(endpoint.value());
  }
  void send_and_forget(http::ClientRequest request) override {
    sent_without_reply.push_back(std::move(request));
  }

  std::deque<std::shared_ptr<FakeExchange>> started;
  std::vector<http::ClientRequest> sent_without_reply;
  std::set<std::string> connected;  ///< Endpoints with an idle connection.

 private:
  class Handle final : public http::Exchange {
   public:
    explicit Handle(std::shared_ptr<FakeExchange> exchange) : exchange_(std::move(exchange)) {}
    ~Handle() override { exchange_->open = false; }
    void set_reading(bool reading) override { exchange_->reading = reading; }
    bool sent() const override { return exchange_->request_sent; }

   private:
    std::shared_ptr<FakeExchange> exchange_;
  };
};

/// Records what a caller has received.
class FakeCaller final : public http::ResponseWriter {
 public:
  void send_head(const http::ResponseHead& received) override { head = received; }
  void send_body(std::string_view bytes) override { body.append(bytes); }
  void finish() override { finished = true; }
  void abort() override { aborted = true; }
  std::size_t buffered_bytes() const override { return buffered; }
  bool closed() const override { return disconnected; }
  bool poll_closed() const override { return disconnected || unnoticed_disconnect; }
  void on_closed(std::function<void()> callback) override { closed_ = std::move(callback); }
  void on_drained(std::function<void()> /*callback*/) override {}

  void disconnect() {
    disconnected = true;
    if (const auto callback = std::exchange(closed_, nullptr)) {
      callback();
    }
  }
  bool ended() const { return finished || aborted; }
  std::string header(std::string_view name) const {
    return std::string(http::find_header(head.headers, name));
  }

  http::ResponseHead head;
  std::string body;
  std::size_t buffered = 0;  ///< Bytes that the caller has not read.
  bool finished = false;
  bool aborted = false;
  bool disconnected = false;
  bool unnoticed_disconnect = false;  ///< Disconnected, but the event loop has not processed it.

 private:
  std::function<void()> closed_;
};

/// Engine calls in a simple format for tests.
class FakeEngineCalls final : public EngineCalls {
 public:
  std::optional<std::string> parse_cache_handle(std::string_view body) const override {
    return body.starts_with("handle=") ? std::optional(std::string(body.substr(7))) : std::nullopt;
  }
  http::ClientRequest release_cache(const std::string& handle) const override {
    http::ClientRequest request;
    request.method = "DELETE";
    request.path = "/cache/" + handle;
    return request;
  }
  http::ClientRequest list_cached_parts() const override {
    http::ClientRequest request;
    request.path = "/cached";
    return request;
  }
  std::vector<std::string> parse_cached_parts(std::string_view body) const override {
    return body.empty() ? std::vector<std::string>() : std::vector{std::string(body)};
  }
  http::ClientRequest list_runs() const override {
    http::ClientRequest request;
    request.path = "/runs";
    return request;
  }
  /// `runs=ID,ID,...`
  std::optional<std::vector<std::string>> parse_runs(std::string_view body) const override {
    if (!body.starts_with("runs=")) {
      return std::nullopt;
    }
    std::vector<std::string> ids;
    std::istringstream text{std::string(body.substr(5))};
    for (std::string id; std::getline(text, id, ',');) {
      ids.push_back(id);
    }
    return ids;
  }
};

/// Knows the streams that were recorded at it, and records them at once.
class FakeStreamRegistry final : public StreamRegistry {
 public:
  void note_begun(const StreamKey& stream, SoftwareId software, Duration lifetime) override {
    known[stream.attempt] = software;
    lifetimes.push_back(lifetime);
  }
  void find(const StreamQuery& query, FindCallback done) override {
    queries.push_back(query);
    if (lookups_pending) {
      pending.push_back(std::move(done));
      return;
    }
    const auto found = query.stream ? known.find(query.stream->attempt) : known.end();
    if (found != known.end()) {
      done({found->second, OriginEvidence::kOwnRecord});
    } else if (sole && query.service) {
      done({*sole, OriginEvidence::kSoleSoftware});
    } else {
      done({std::nullopt, unknown});
    }
  }

  void note_stream(const ServiceName& service, Duration lifetime) override {
    noted[service].push_back(lifetime);
  }

  std::map<std::uint64_t, SoftwareId> known;
  std::optional<SoftwareId> sole;                             ///< Of each service.
  OriginEvidence unknown = OriginEvidence::kSeveralSoftware;  ///< Of all other streams.
  std::vector<Duration> lifetimes;                            ///< Of the records, in order.
  /// Of all streams of each service, in order.
  std::map<ServiceName, std::vector<Duration>> noted;
  bool lookups_pending = false;  ///< Look-ups are answered by the test.
  std::vector<FindCallback> pending;
  std::vector<StreamQuery> queries;
};

/// Answers at once that a run has ended, or when the test says so.
class FakeRunInquiry final : public RunInquiry {
 public:
  void ask(RunQuery query, Callback done) override {
    queries.push_back(query);
    if (answers_at_once) {
      done(verdict);
    } else {
      pending.push_back({std::move(query), std::move(done)});
    }
  }
  /// Answers the oldest pending query, unless its asker has expired.
  void settle(RunVerdict found) {
    auto [query, done] = std::move(pending.front());
    pending.pop_front();
    if (!query.asker.expired()) {
      done(found);
    }
  }

  RunVerdict verdict = RunVerdict::kEnded;
  bool answers_at_once = true;
  std::vector<RunQuery> queries;
  std::deque<std::pair<RunQuery, Callback>> pending;
};

/// Records the "request ended" lines.
class EndLogger final : public logging::Logger {
 public:
  void write(const logging::Record& record) override {
    if (record.message != "request ended") {
      return;
    }
    ends.push_back(record);
    if (const logging::Field* field = find("not_sent_again")) {
      not_sent_again.push_back(std::get<std::string>(field->value));
    }
  }
  /// A field of the latest line.
  template <class Value>
  Value last(std::string_view name) const {
    REQUIRE_FALSE(ends.empty());
    const logging::Field* field = find(name);
    REQUIRE(field != nullptr);
    return std::get<Value>(field->value);
  }
  /// A field of the latest line; null if the line lacks it.
  const logging::Field* find(std::string_view name) const {
    const auto& fields = ends.back().fields;
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const logging::Field& field) {
      return field.name == name;
    });
    return found == fields.end() ? nullptr : &*found;
  }

  std::vector<logging::Record> ends;
  std::vector<std::string> not_sent_again;
};

/// A gateway with routes `/idempotent/`, `/once/`, `/once-twice/`, `/stream/` and `/resumable/` of
/// host `h`, an engine service `llm` and a service `relay` without engines.
struct GatewayFixture {
  simulation::VirtualTime time;
  SeededRandom random{7};
  FakeTransport transport;
  FleetState fleet;
  LoadTable loads;
  Placement placement{fleet, loads, random, ZoneName("a")};
  RetryBudget budget{{1.0, 1000, std::chrono::seconds(10)}};
  UnansweredSends unanswered;
  SharePicker shares{random};
  HeaderNames names;
  FakeEngineCalls engines;
  GatewayStatistics statistics;
  EndLogger logger;
  FakeStreamRegistry streams;
  FakeRunInquiry run_inquiry;
  bool refresh_succeeds = true;
  Gateway gateway{environment(), [this](auto done) { done(refresh_succeeds); }};

  /// The environment of the gateway. Tests may add optional members for a gateway of their own.
  Environment environment() {
    Environment made{
        time,       time,   transport, fleet,   loads,      placement, budget,
        unanswered, shares, names,     engines, statistics, logger,    [] { return 1U; }};
    made.streams = &streams;
    made.runs = &run_inquiry;
    return made;
  }
  Environment environment_with(RequestGuard* guard, SendGate* gate) {
    Environment made = environment();
    made.guard = guard;
    made.gate = gate;
    made.replicate_retryable_streams = true;
    return made;
  }

  GatewayFixture() { fleet.apply(make_configuration(1)); }

  static Route make_route(std::string prefix, RequestKind kind, std::string service,
                          std::uint32_t attempts, bool resumable) {
    Route route;
    route.name = RouteName(prefix);
    route.host = "h";
    route.path_prefix = std::move(prefix);
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(2000);
    route.target_latency = std::chrono::milliseconds(100);
    route.target_gap = std::chrono::milliseconds(300);
    route.max_attempts = attempts;
    route.resumable = resumable;
    route.shares = {{ServiceName(std::move(service)), 1}};
    return route;
  }

  static Configuration make_configuration(std::uint64_t version) {
    Configuration configuration;
    configuration.version = ConfigurationVersion(version);
    configuration.routes = {
        make_route("/idempotent/", RequestKind::kIdempotent, "relay", 2, false),
        make_route("/once/", RequestKind::kNonIdempotent, "relay", 1, false),
        make_route("/once-twice/", RequestKind::kNonIdempotent, "relay", 2, false),
        make_route("/stream/", RequestKind::kStreaming, "llm", 1, false),
        make_route("/resumable/", RequestKind::kStreaming, "llm", 2, true),
    };
    Service relay{ServiceName("relay"), 100, std::nullopt};
    Service engines{ServiceName("llm"), 100, EngineShape{}};
    configuration.services = {relay, engines};
    return configuration;
  }

  void add_backend(const std::string& id, const std::string& service,
                   EngineRole role = EngineRole::kNone, bool draining = false,
                   const std::string& version = "v1") {
    Backend backend;
    backend.id = BackendId(id);
    backend.service = ServiceName(service);
    backend.address = Endpoint(id + ":1");
    backend.zone = ZoneName("a");
    backend.slots = 8;
    backend.draining = draining;
    backend.role = role;
    backend.version = SoftwareVersion(version);
    fleet.put(backend);
  }

  std::shared_ptr<FakeCaller> send(const std::string& path,
                                   std::vector<http::Header> headers = {}) {
    return send_late(path, Duration::zero(), std::move(headers));
  }
  /// Sends a request that is read `read_delay` after its arrival.
  std::shared_ptr<FakeCaller> send_late(const std::string& path, Duration read_delay,
                                        std::vector<http::Header> headers = {}) {
    headers.push_back({"host", "h"});
    headers.push_back({"x-request-id", "r1"});
    auto caller = std::make_shared<FakeCaller>();
    gateway.handle({"POST", path, "", std::move(headers), "body", read_delay}, caller);
    return caller;
  }

  /// Records a stream as begun by the attempt `id`, of no tenant, at back ends of service `llm`.
  void record_stream(const std::string& id, const std::string& version = "v1") {
    Backend backend;
    backend.service = ServiceName("llm");
    backend.version = SoftwareVersion(version);
    streams.note_begun(make_stream_key({}, id), software_of(backend), std::chrono::seconds(4));
  }

  /// The latest exchange.
  FakeExchange& last() { return *transport.started.back(); }
  /// Reports that the connection of the latest exchange is established. Returns whether the send
  /// takes place; otherwise it is withdrawn.
  bool connect() {
    const bool may_send = last().request.may_send();
    if (!may_send) {
      last().fail(http::HttpErrc::kWithdrawn, false);
    }
    return may_send;
  }
  std::size_t sends() const { return transport.started.size(); }
  http::Header signature() const { return {names.signature, "sig"}; }
  void advance(Duration span) { time.run_until(time.now() + span); }
};

}  // namespace ochrespring::gateway::testing
