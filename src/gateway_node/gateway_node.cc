#include "gateway_node/gateway_node.h"

#include <algorithm>
#include <utility>

#include "gateway_node/node_metrics.h"

namespace ochrespring::gateway_node {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kComponent = "node";
/// Subtracted from the grace period of the settings, so that the process ends before the platform
/// kills it. Also the shortest grace period that is used.
constexpr Duration kGraceMargin = milliseconds(500);
/// Fraction of its lease after which a node's registration is renewed, so that two retries fit into
/// the rest of the default lease.
constexpr double kRenewalFraction = 0.4;
/// Added to callers' idle timeout, so that the server closes connections later than callers do and
/// rarely while a request is in transit.
constexpr Duration kIdleMargin = std::chrono::seconds(2);

/// Maximum size of the bodies of requests for pages, which need none.
constexpr std::uint64_t kMaxPageRequestBody = 4U << 10U;

http::ServerSettings page_server_at(const Endpoint& endpoint, http::CallerGuard& guard) {
  return {
      .listen = endpoint, .tls = {}, .largest_body_bytes = kMaxPageRequestBody, .guard = &guard};
}

/// A seed performs a full listing of the store immediately when it starts, because nodes without a
/// view fetch it from the seeds and from other nodes that have one.
discovery::FleetWatcherSettings watcher_settings(const Settings& settings) {
  auto watcher = discovery::settings_for_staleness_bound(
      std::min(settings.drain_bound, settings.configuration_bound));
  watcher.lists_immediately = std::find(settings.seeds.begin(), settings.seeds.end(),
                                        settings.view_listen) != settings.seeds.end();
  return watcher;
}

}  // namespace

GatewayNode::GatewayNode(http::EventLoop& loop, http::Client& client, const Clock& clock,
                         RandomSource& random, logging::Logger& logger, Settings settings,
                         PlatformInterfaces platform)
    : loop_(loop),
      clock_(clock),
      logger_(logger),
      settings_(std::move(settings)),
      platform_(std::move(platform)),
      client_(client),
      caller_guard_(loop, settings_.callers),
      profiles_(fleet_, logger),
      placement_(fleet_, loads_, random, settings_.zone, &profiles_),
      retry_budget_(settings_.retry_budget, clock.now()),
      share_picker_(random),
      self_{settings_.node,        settings_.listen,    settings_.zone,
            settings_.peer_listen, settings_.link_mbps, settings_.view_listen},
      nodes_(clock, self_),
      links_({loop, client, clock, random, logger, fleet_, loads_, nodes_}, settings_.peer_listen,
             [this] { stop_sequence_.on_idle(); }),
      watcher_({clock, loop, random, platform_.store, platform_.codec, logger},
               watcher_settings(settings_), fleet_, nodes_),
      registration_(loop, platform_.store, logger, random,
                    {.key = platform_.codec.layout().node_prefix + settings_.node.value(),
                     .time_to_live = settings_.node_lease,
                     .period = from_seconds(kRenewalFraction * to_seconds(settings_.node_lease))},
                    self_),
      view_exchange_({loop, client, clock, random},
                     {.listen = settings_.view_listen,
                      .seeds = settings_.seeds,
                      .link_mbps = settings_.link_mbps,
                      .guard = &caller_guard_},
                     [this](auto after) { return watcher_.make_transfer(after); }),
      peer_exchange_(
          {clock, loop, random, fleet_, loads_, nodes_, watcher_},
          {.peer_address = settings_.peer_listen,
           .view_address = settings_.view_listen,
           .relays = {.min_nodes = settings_.relay_from_nodes},
           .relay_batch_window = settings_.relay_batch_window},
          [this](const Endpoint& to, std::string_view bytes) { peer_socket_->send(to, bytes); },
          [this](const Endpoint& view_address) { view_exchange_.note_source(view_address); }),
      duties_({clock, loop, random, platform_.store, logger, fleet_, platform_.usage_sink,
               platform_.server_provider},
              {.key_prefix = platform_.codec.layout().duty_prefix,
               .node = settings_.node,
               .lease = settings_.node_lease,
               .usage_windows = {settings_.usage_window},
               .usage_due = settings_.usage_due,
               .server_plan = settings_.server_plan},
              {.eligibility = {
                   .to_claim = [this] { return peer_exchange_.channel().is_first_relay(); },
                   .to_hold = [this] { return peer_exchange_.channel().receives_all_usage(); }},
               .send_usage =
                   [this](const usage::UsageReport& report) {
                     peer_exchange_.broadcast_usage(report);
                   }}),
      quarantine_(
          {clock, loop, random, platform_.store, logger, fleet_},
          {.key_prefix = platform_.codec.layout().quarantine_prefix, .node = settings_.node},
          {.probe =
               [this](const Endpoint& address, std::function<void(http::ProbeResult)> done) {
                 links_.probe(address, std::move(done));
               },
           .broadcast = [this](const auto& batch) { peer_exchange_.broadcast_crashes(batch); },
           .broadcast_to_zone =
               [this](const auto& batch) { peer_exchange_.broadcast_crashes_to_zone(batch); },
           .request_horizon = [this] { peer_exchange_.request_horizon(); },
           .node_count = [this] { return nodes_.count(); }}),
      rate_limiter_(
          {clock, loop, random, logger, fleet_, nodes_},
          {.broadcast = [this](const auto& report) { peer_exchange_.broadcast_limits(report); },
           .send = [this](const Endpoint& to,
                          const auto& report) { peer_exchange_.send(to, report); },
           .send_request = [this](const Endpoint& to,
                                  const auto& request) { peer_exchange_.send(to, request); },
           .send_reply = [this](const Endpoint& to,
                                const auto& reply) { peer_exchange_.send(to, reply); }}),
      admission_({clock, random, logger, fleet_, loads_, rate_limiter_},
                 [this](const auto& notice) { peer_exchange_.broadcast_notice(notice); }),
      stream_records_(
          {clock, loop, random, logger, nodes_, fleet_,
           [this](MonotonicTime as_of, auto done) { confirm_software(as_of, std::move(done)); }},
          {.send_record = [this](const Endpoint& to,
                                 const auto& record) { peer_exchange_.send(to, record); },
           .send_query = [this](const Endpoint& to,
                                const auto& query) { peer_exchange_.send(to, query); },
           .send_reply = [this](const Endpoint& to,
                                const auto& reply) { peer_exchange_.send(to, reply); }}),
      history_keeper_(
          {clock, loop, random, platform_.store, logger, stream_records_.history(), fleet_},
          {.key = platform_.codec.layout().software_history_key,
           .is_first_choice = [this] { return peer_exchange_.channel().is_first_relay(); },
           .node_count = [this] { return nodes_.count(); }}),
      queue_({clock, loop, random, logger, [this] { return nodes_.conservative_count(); }},
             settings_.queue),
      profile_exchange_(
          {clock, loop, random, profiles_}, settings_.node,
          {.broadcast = [this](const auto& report) { peer_exchange_.broadcast_profiles(report); },
           .send_to_zone =
               [this](const auto& relayed) {
                 peer_exchange_.broadcast_profiles_to_zone(relayed);
               }}),
      cache_survey_(clock, platform_.engines, fleet_, loads_,
                    [this](const gateway::BackendId& engine, http::ClientRequest request,
                           std::function<void(std::string)> done) {
                      fetch_from_engine(engine, std::move(request), std::move(done));
                    }),
      run_inquiry_({clock, loop, platform_.engines, platform_.names, logger},
                   [this](const gateway::BackendId& engine, http::ClientRequest request,
                          EngineCallback done) {
                     call_engine(engine, std::move(request), std::move(done));
                   }),
      gateway_({clock,
                loop,
                links_.transport(),
                fleet_,
                loads_,
                placement_,
                retry_budget_,
                unanswered_sends_,
                share_picker_,
                platform_.names,
                platform_.engines,
                statistics_,
                logger,
                [this] { return nodes_.conservative_count(); },
                [this](const TenantName& tenant, Duration ago) { duties_.note_run(tenant, ago); },
                &quarantine_,
                &admission_,
                &queue_,
                &profiles_,
                &profiles_,
                &stream_records_,
                &run_inquiry_,
                settings_.replicate_resumable_streams != 0},
               [this](auto done) { watcher_.refresh_configuration(std::move(done)); }),
      caller_server_(loop, {.listen = settings_.listen, .tls = {}, .guard = &caller_guard_}),
      ready_server_(loop, page_server_at(settings_.ready_listen, caller_guard_)),
      directory_server_(loop, page_server_at(settings_.directory_listen, caller_guard_)),
      stop_sequence_(
          loop,
          {[this] { leave(); }, [this] { caller_server_.stop_accepting(); }, [this] { finish(); },
           [this] { return caller_server_.requests_in_progress() + links_.relayed_connections(); },
           [this] { gateway_.set_shutdown_time(shutdown_time_); }, [this] { end_requests(); }}) {}

Result<void, http::HttpError> GatewayNode::start() {
  caller_guard_.on_limit([this](http::CallerLimit limit) { log_caller_limit(limit); });
  caller_server_.route(
      "/", [this](http::Request request, std::shared_ptr<http::ResponseWriter> response) {
        gateway_.handle(std::move(request), std::move(response));
      });
  platform_.add_ready_page(
      ready_server_, [this] { return !stop_sequence_.begun() && fleet_.routes() != nullptr; });
  platform_.add_directory_page(directory_server_, nodes_);
  BOOST_OUTCOME_TRY(caller_server_.listen());
  BOOST_OUTCOME_TRY(ready_server_.listen());
  BOOST_OUTCOME_TRY(directory_server_.listen());
  if (!settings_.metrics_listen.empty()) {
    metrics_.add([this](metrics::SampleSink& sink) { add_metrics(sink); });
    metrics_server_ = std::make_unique<http::Server>(
        loop_, page_server_at(settings_.metrics_listen, caller_guard_));
    metrics_server_->route("/metrics", [this](const http::Request&, const auto& response) {
      response->respond(200, {{"content-type", std::string(metrics::kContentType)}},
                        metrics_.render());
    });
    BOOST_OUTCOME_TRY(metrics_server_->listen());
  }
  BOOST_OUTCOME_TRY(listen_to_peers());
  BOOST_OUTCOME_TRY(view_exchange_.listen());
  watcher_.on_store_state([this](bool reachable) {
    peer_exchange_.on_store_state(reachable);
    quarantine_.on_store_state(reachable);
  });
  watcher_.on_view_needed(
      [this](auto done) { view_exchange_.fetch(known_view_addresses(), std::move(done)); });
  watcher_.on_fetch_needed([this](const auto& request, auto done) {
    view_exchange_.fetch_from(request, std::move(done));
  });
  watcher_.on_reading_assignment([this] { return peer_exchange_.channel().reading_assignment(); });
  fleet_.on_applied([this] { stream_records_.history().note_routes(); });
  fleet_.on_added([this](const gateway::Backend& backend) {
    admission_.note_backend_added(backend.id);
    history_keeper_.note_added(backend);
  });
  fleet_.on_role_changed([this](const gateway::Backend& former, const gateway::Backend& now) {
    stream_records_.history().note_removed(former);
    history_keeper_.note_added(now);
  });
  fleet_.on_removed([this](const gateway::Backend& backend) {
    loads_.forget(backend.id);
    peer_exchange_.forget(backend.id);
    profile_exchange_.forget(backend.id);
    links_.forget(backend);
    quarantine_.note_backend_removed(backend);
    rate_limiter_.forget(backend.id);
    stream_records_.history().note_removed(backend);
    gateway_.on_backend_unregistered(backend.id);
  });
  watcher_.on_view_current([this] {
    apply_limits();
    stream_records_.history().note_view_current();
    history_keeper_.on_view_current();
    quarantine_.on_store_available();
    request_initial_state();
    nodes_.add_deferred_nodes();
  });
  watcher_.on_view_replaced([this] { stream_records_.history().note_view_replaced(); });
  watcher_.on_new_era([this] { rewrite_store_entries(); });
  gateway_.on_idle([this] { stop_sequence_.on_idle(); });
  peer_exchange_.on_usage(
      [this](const usage::UsageReport& report) { duties_.receive_usage(report); });
  connect_quarantine();
  connect_admission();
  connect_profiles();
  connect_stream_records();
  watcher_.start();
  registration_.start();
  duties_.start();
  logger_.write({logging::Level::kInfo,
                 kComponent,
                 "started",
                 {{"node", settings_.node.value()}, {"listen", settings_.listen.value()}}});
  return outcome::success();
}

std::vector<Endpoint> GatewayNode::known_view_addresses() const {
  std::vector<Endpoint> addresses;
  for (const auto& [node, record] : nodes_.others()) {
    if (!record.view_address.empty()) {
      addresses.push_back(record.view_address);
    }
  }
  return addresses;
}

/// Called when the store was restored from an older copy and lacks later writes.
void GatewayNode::rewrite_store_entries() {
  registration_.reregister();
  duties_.on_store_rolled_back();
  quarantine_.on_store_rolled_back();
  history_keeper_.on_store_rolled_back();
}

void GatewayNode::connect_quarantine() {
  quarantine_.on_quarantined(
      [this](const gateway::RequestFingerprint& request) { gateway_.on_quarantined(request); });
  watcher_.on_other_key([this](const std::string& key, const std::optional<std::string>& value) {
    quarantine_.apply_store_change(key, value);
  });
  peer_exchange_.on_crashes(
      {.receive = [this](const auto& report) { quarantine_.receive(report); },
       .receive_for_relay = [this](const auto& report) { quarantine_.receive_for_relay(report); },
       .send_all = [this](const auto& send) { quarantine_.send_all(send); },
       .receive_horizon = [this](const auto& report) { quarantine_.receive(report); },
       .horizon = [this] { return quarantine_.horizon(); }});
  watcher_.on_first_listing([this] { quarantine_.on_first_listing(); });
  quarantine_.start();
}

void GatewayNode::connect_admission() {
  peer_exchange_.on_limits(
      {.receive = [this](const auto& report) { rate_limiter_.receive(report); },
       .receive_request = [this](const auto& request) { rate_limiter_.receive(request); },
       .receive_reply = [this](const auto& reply) { rate_limiter_.receive(reply); },
       .send_all = [this](const auto& send) { rate_limiter_.send_all(send); }});
  peer_exchange_.on_notices({.receive = [this](const auto& notice) { admission_.receive(notice); },
                             .send_all = [this](const auto& send) { admission_.send_all(send); }});
}

void GatewayNode::connect_profiles() {
  peer_exchange_.on_profiles(
      {.receive = [this](const auto& report) { profile_exchange_.receive(report); },
       .receive_for_relay =
           [this](const auto& report) { profile_exchange_.receive_for_relay(report); },
       .receive_relayed = [this](const auto& relayed) { profile_exchange_.receive(relayed); },
       .send_all = [this](const auto& send) { profile_exchange_.send_all(send); }});
  profile_exchange_.start();
}

void GatewayNode::connect_stream_records() {
  peer_exchange_.on_stream_records(
      {.receive = [this](const auto& record) { stream_records_.receive(record); },
       .receive_query = [this](const auto& query) { stream_records_.receive(query); },
       .receive_reply = [this](const auto& reply) { stream_records_.receive(reply); },
       .receive_history = [this](const auto& report) { stream_records_.history().receive(report); },
       .report_history = [this](auto send) { stream_records_.report_history(std::move(send)); }});
  history_keeper_.start();
}

/// The entry is read behind the view, so that it holds what left the view unseen.
void GatewayNode::confirm_software(MonotonicTime as_of, std::function<void()> done) {
  watcher_.confirm_view(as_of, [this, as_of, done = std::move(done)](bool confirmed) {
    if (!confirmed) {
      done();
      return;
    }
    history_keeper_.confirm(as_of, [done](bool /*confirmed*/) { done(); });
  });
}

Result<void, http::HttpError> GatewayNode::listen_to_peers() {
  BOOST_OUTCOME_TRY(socket, peer_load::DatagramSocket::bind(
                                loop_, settings_.peer_listen, [this](std::string_view bytes) {
                                  peer_exchange_.receive(bytes, loop_.stall_duration());
                                }));
  peer_socket_ = std::move(socket);
  return links_.listen();
}

void GatewayNode::request_initial_state() {
  if (requested_initial_state_ && cache_survey_.begun()) {
    return;
  }
  std::vector<NodeId> nodes{settings_.node};
  for (const auto& [node, record] : nodes_.others()) {
    nodes.push_back(node);
  }
  cache_survey_.begin(settings_.node, nodes);
  if (!std::exchange(requested_initial_state_, true)) {
    peer_exchange_.request_cached_parts();
  }
}

void GatewayNode::stop() {
  const StopTimes times =
      StopTimes::within(std::max<Duration>(settings_.stop_grace - kGraceMargin, kGraceMargin));
  if (!stop_sequence_.begun()) {
    shutdown_time_ = clock_.now() + times.grace;
  }
  stop_sequence_.begin(times);
}

/// Returns log fields with the numbers of requests by what they wait for. `held` also counts
/// requests that are partly received and those whose answer is partly sent.
std::vector<logging::Field> GatewayNode::request_count_fields() const {
  const gateway::HeldRequests requests = gateway_.held();
  return {{"held", static_cast<std::uint64_t>(caller_server_.requests_in_progress())},
          {"at_configuration", static_cast<std::uint64_t>(requests.awaiting_configuration)},
          {"at_back_ends", static_cast<std::uint64_t>(requests.awaiting_backend)},
          {"queued", static_cast<std::uint64_t>(requests.queued)}};
}

void GatewayNode::leave() {
  logger_.write({logging::Level::kInfo, kComponent, "stop requested", request_count_fields()});
  duties_.leave();
  nodes_.leave();
  links_.leave();
  // The answer to this node's own write may have been lost, so other nodes may know a newer
  // revision.
  peer_exchange_.announce_leaving([this] {
    return std::max(registration_.registration_revision(), nodes_.own_registration_revision());
  });
  registration_.leave();
  caller_server_.announce_close();
  queue_.stop();
}

/// Called when the grace period is over.
void GatewayNode::end_requests() {
  logger_.write({logging::Level::kWarning, kComponent,
                 "ending requests at the end of the grace period", request_count_fields()});
  gateway_.finish_all();
}

void GatewayNode::finish() {
  duties_.finish();
  logger_.write({logging::Level::kInfo, kComponent, "stopped", request_count_fields()});
  loop_.stop();
}

void GatewayNode::reload(const Settings& settings) {
  settings_.retry_budget = settings.retry_budget;
  settings_.stop_grace = settings.stop_grace;
  settings_.queue = settings.queue;
  retry_budget_.set(settings.retry_budget);
  queue_.set_limits(settings.queue);
  logger_.write({logging::Level::kInfo, kComponent, "settings reloaded", {}});
}

/// Calls `done` with the result, or with kWithdrawn if the engine has asked this node to back off.
/// The rate limit, back-off and leaving announcement in the answer's headers are applied as for any
/// other answer, unless another back end answers at the address.
void GatewayNode::call_engine(const gateway::BackendId& engine, http::ClientRequest request,
                              EngineCallback done) {
  const MonotonicTime now = clock_.now();
  if (admission_.is_backing_off(engine, now)) {
    loop_.post([done = std::move(done)] {
      done(outcome::failure(
          http::FetchFailure{{http::HttpErrc::kWithdrawn, "the engine takes no calls now"}}));
    });
    return;
  }
  links_.fetch(std::move(request), [this, engine, now, done = std::move(done)](auto result) {
    if (result) {
      const auto statement = gateway::parse_statement(result.value().head, platform_.names);
      if (!statement.misdirected) {
        admission_.note_answer({.backend = engine, .sent = now, .statement = statement});
      }
    }
    done(std::move(result));
  });
}

/// Calls `done` with the body of a successful answer, and not at all after any other result or if
/// the engine takes no more requests.
void GatewayNode::fetch_from_engine(const gateway::BackendId& engine, http::ClientRequest request,
                                    std::function<void(std::string body)> done) {
  if (!admission_.may_send(engine, clock_.now())) {
    return;
  }
  call_engine(engine, std::move(request), [done = std::move(done)](auto result) {
    if (result && result.value().head.status == 200) {
      done(std::move(result.value().body));
    }
  });
}

void GatewayNode::apply_limits() {
  const auto& limits =
      fleet_.routes() ? fleet_.routes()->configuration().limits : gateway::CallerLimits();
  caller_server_.set_largest_body(limits.max_body_bytes);
  caller_server_.set_idle_timeout(limits.idle_timeout + kIdleMargin);
}

void GatewayNode::log_caller_limit(http::CallerLimit limit) {
  const http::CallerGuardStatistics& counts = caller_guard_.statistics();
  logger_.write({logging::Level::kWarning,
                 kComponent,
                 "limit of callers reached",
                 {{"limit", std::string(http::describe(limit))},
                  {"memory_bytes", static_cast<std::uint64_t>(caller_guard_.account().total())},
                  {"connections", static_cast<std::uint64_t>(caller_guard_.connections())},
                  {"requests_rejected", counts.requests_rejected},
                  {"requests_evicted", counts.requests_evicted},
                  {"connections_closed", counts.connections_closed}}});
}

void GatewayNode::add_metrics(metrics::SampleSink& sink) const {
  add_caller_guard_metrics(caller_guard_, sink);
  add_gateway_metrics(statistics_, sink);
  add_watcher_metrics(watcher_, sink);
  peer_exchange_.add_metrics(sink);
  duties_.add_metrics(sink);
  quarantine_.add_metrics(sink);
  rate_limiter_.add_metrics(sink);
  admission_.add_metrics(sink);
  queue_.add_metrics(sink);
  profiles_.add_metrics(sink);
  profile_exchange_.add_metrics(sink);
  stream_records_.add_metrics(sink);
  history_keeper_.add_metrics(sink);
  links_.add_metrics(sink);
  run_inquiry_.add_metrics(sink);
  sink.counter({"backend_connections", "Connections opened to back ends"},
               static_cast<double>(client_.statistics().connections_opened));
  sink.gauge({"requests_running", "Requests in progress"}, static_cast<double>(gateway_.running()));
  sink.gauge({"backends", "Back ends known"}, static_cast<double>(fleet_.backends().size()));
  sink.gauge({"nodes", "Nodes known"}, static_cast<double>(nodes_.count()));
}

}  // namespace ochrespring::gateway_node
