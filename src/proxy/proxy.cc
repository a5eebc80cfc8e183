#include "proxy/proxy.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "proxy/headers.h"
#include "proxy/request_parser.h"

namespace ochrespring::proxy {

namespace {

std::string to_hex(std::uint64_t number) {
  std::array<char, 16> text{};
  const auto written = std::to_chars(text.data(), text.data() + text.size(), number, 16);
  return {text.data(), written.ptr};
}

const fleet::Tenant* find_tenant(const router::FleetView& view, const TenantName& name) {
  const auto found = std::find_if(view.tenants.begin(), view.tenants.end(),
                                  [&](const fleet::Tenant& tenant) { return tenant.name == name; });
  return found == view.tenants.end() ? nullptr : &*found;
}

}  // namespace

Proxy::Proxy(const ProxyEnvironment& environment, ProxySettings settings)
    : context_(environment, std::move(settings), *this),
      demand_(environment.clock.now()),
      poll_(environment.timers),
      soon_(environment.timers),
      burial_(environment.timers),
      id_prefix_(to_hex(environment.random.next()) + "-") {
  rates_.set_share(context_.settings.tenant_rate_share);
}

Proxy::~Proxy() = default;

void Proxy::on_view(router::FleetViewPointer view) {
  context_.set_view(std::move(view));
  context_.environment.router.update(context_.view(), context_.environment.clock.now());
  rates_.forget_idle(context_.environment.clock.now());
  move_streams();
  on_capacity_freed();
}

void Proxy::on_cache_events(const EngineId& engine, Incarnation incarnation,
                            const std::vector<engine::CacheEvent>& events) {
  context_.environment.router.on_cache_events(engine, incarnation, events,
                                              context_.environment.clock.now());
}

/// Unique over all nodes and restarts: 64 random bits drawn at the start, and a count.
std::string Proxy::make_unique_id() {
  return id_prefix_ + to_hex(next_ticket_);
}

Result<ParsedRequest, ProxyError> Proxy::admit(CallerRequest request) {
  if (draining_) {
    return fail(ProxyErrc::kShuttingDown, "the node is stopping");
  }
  if (!context_.view()) {
    return fail(ProxyErrc::kNoConfiguration, "the node has no fleet configuration yet");
  }
  const MonotonicTime now = context_.environment.clock.now();
  const router::FleetView& view = *context_.view();
  BOOST_OUTCOME_TRY(parsed, parse_request(std::move(request),
                                          {view, context_.settings.zone, make_unique_id(), now}));
  const fleet::Tenant* tenant = find_tenant(view, parsed.route.tenant);
  if (tenant != nullptr && !rates_.admit(*tenant, now)) {
    return fail(ProxyErrc::kTenantLimit, "the tenant's request rate is reached");
  }
  return parsed;
}

RequestTicket Proxy::submit(CallerRequest request, std::unique_ptr<CallerStream> caller) {
  const RequestTicket ticket = next_ticket_;
  ++context_.statistics.requests;
  const std::string own_id(read_caller_id(request));
  const RequestId id(own_id.empty() ? make_unique_id() : own_id);
  if (request.path == kModelsPath && request.method == "GET" && context_.view()) {
    ++next_ticket_;
    answer_models(std::move(caller), id);
    return ticket;
  }
  auto admitted = admit(std::move(request));
  ++next_ticket_;
  if (!admitted) {
    refuse(std::move(caller), id, admitted.error());
    return ticket;
  }
  ParsedRequest parsed = std::move(admitted).value();
  context_.retry_budget.deposit();
  demand_.on_request(parsed);
  auto coordinator =
      std::make_unique<RequestCoordinator>(context_, ticket, std::move(parsed), std::move(caller));
  RequestCoordinator& started = *coordinator;
  requests_.emplace(ticket, std::move(coordinator));
  started.start();
  return ticket;
}

void Proxy::refuse(std::unique_ptr<CallerStream> caller, const RequestId& id,
                   const ProxyError& error) {
  ++context_.statistics.not_run;
  AnswerRelay(AnswerKind::kWhole, id, id, std::move(caller)).fail(error, Outcome::kNotRun);
}

void Proxy::answer_models(std::unique_ptr<CallerStream> caller, const RequestId& id) {
  ++context_.statistics.answered;
  AnswerRelay relay(AnswerKind::kWhole, id, id, std::move(caller));
  relay.on_head({200, {{std::string(header::kContentType), "application/json"}}});
  relay.on_body(render_models(*context_.view()));
  relay.finish();
}

void Proxy::on_caller_gone(RequestTicket ticket) {
  const auto found = requests_.find(ticket);
  if (found != requests_.end()) {
    found->second->on_caller_gone();
  }
}

void Proxy::on_caller_drained(RequestTicket ticket) {
  const auto found = requests_.find(ticket);
  if (found != requests_.end()) {
    found->second->on_caller_drained();
  }
}

bool Proxy::wait_for_engine(RequestTicket ticket) {
  const RequestCoordinator& waiting = *requests_.at(ticket);
  const bool placed =
      waiting_.push(ticket, waiting.request(), *context_.view(), [this](RequestTicket victim) {
        ++context_.statistics.shed;
        requests_.at(victim)->refuse(
            {ProxyErrc::kShed, "gave way to a request of higher priority"});
      });
  if (placed) {
    arm_poll();
  }
  return placed;
}

void Proxy::stop_waiting(RequestTicket ticket) {
  waiting_.remove(ticket, offering_);
}

void Proxy::on_capacity_freed() {
  if (waiting_.empty() || soon_.armed()) {
    return;
  }
  soon_.arm(Duration::zero(), [this] { offer_turns(); });
}

void Proxy::offer_turns() {
  offering_ = true;
  waiting_.offer_turns(
      [this](RequestTicket ticket) { return requests_.at(ticket)->route_waiting(); });
  offering_ = false;
  arm_poll();
}

void Proxy::arm_poll() {
  if (waiting_.empty() || poll_.armed()) {
    return;
  }
  poll_.arm(context_.settings.queue_poll, [this] { offer_turns(); });
}

void Proxy::move_streams() {
  std::vector<EngineId> leaving;
  for (const router::EngineView& engine : context_.view()->engines) {
    if (engine.moving_streams && !idle_on(engine.id)) {
      leaving.push_back(engine.id);
    }
  }
  if (leaving.empty()) {
    return;
  }
  std::vector<RequestTicket> tickets;
  tickets.reserve(requests_.size());
  for (const auto& [ticket, request] : requests_) {
    tickets.push_back(ticket);
  }
  std::sort(tickets.begin(), tickets.end());
  for (const RequestTicket ticket : tickets) {
    for (const EngineId& engine : leaving) {
      requests_.at(ticket)->move_off(engine);
    }
  }
}

void Proxy::on_request_finished(RequestTicket ticket) {
  finished_.push_back(ticket);
  if (!burial_.armed()) {
    burial_.arm(Duration::zero(), [this] { bury_finished(); });
  }
}

void Proxy::bury_finished() {
  for (const RequestTicket ticket : std::exchange(finished_, {})) {
    requests_.erase(ticket);
  }
  check_drained();
}

void Proxy::drain(std::function<void()> done) {
  draining_ = true;
  drained_ = std::move(done);
  check_drained();
}

void Proxy::check_drained() {
  if (!draining_ || !requests_.empty() || !drained_) {
    return;
  }
  std::exchange(drained_, nullptr)();
}

control_plane::ProxyReport Proxy::report() {
  control_plane::ProxyReport report;
  report.loop = context_.settings.loop;
  report.view_sequence = context_.view() ? context_.view()->sequence : 0;
  for (const auto& [engine, requests] : context_.in_flight.counts()) {
    report.in_flight.push_back({engine, requests});
  }
  std::sort(report.in_flight.begin(), report.in_flight.end(),
            [](const auto& left, const auto& right) { return left.engine < right.engine; });
  report.demand = demand_.take(context_.environment.clock.now(), [this](const ModelName& model) {
    return waiting_.waiting_for(model);
  });
  return report;
}

std::vector<DecisionRecord> Proxy::explain(const RequestId& request) const {
  std::vector<DecisionRecord> found;
  const auto& decisions = context_.decisions();
  std::copy_if(decisions.begin(), decisions.end(), std::back_inserter(found),
               [&](const DecisionRecord& record) { return record.request == request; });
  return found;
}

std::optional<DecisionRecord> Proxy::explain_engine(const EngineId& engine) const {
  const auto& decisions = context_.decisions();
  const auto found =
      std::find_if(decisions.rbegin(), decisions.rend(),
                   [&](const DecisionRecord& record) { return record.decision.engine == engine; });
  return found == decisions.rend() ? std::nullopt : std::optional(*found);
}

}  // namespace ochrespring::proxy
