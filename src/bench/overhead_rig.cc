#include "bench/overhead_rig.h"

#include <ctime>
#include <future>
#include <utility>

namespace ochrespring::bench {

namespace {

constexpr std::string_view kRequestIdHeader = "x-request-id";
constexpr std::string_view kStreamMember = R"("stream":true)";

http::ServerSettings loopback() {
  http::ServerSettings settings;
  settings.listen = Endpoint("127.0.0.1:0");
  return settings;
}

std::string token_event(const std::string& id, std::uint64_t offset) {
  return "data: {\"id\":\"" + id + "\",\"offset\":" + std::to_string(offset) +
         ",\"choices\":[{\"index\":0,\"text\":\" token\"}]}\n\n";
}

/// One model service with one engine, whose grant never ends.
router::FleetViewPointer make_view(const Endpoint& engine) {
  auto view = std::make_shared<router::FleetView>();
  view->sequence = 1;
  fleet::Service service;
  service.name = ServiceName("llm");
  service.limits.deadline = std::chrono::hours(1);
  service.limits.queued_requests = 100'000;
  view->services = {service};
  fleet::Model model;
  model.name = ModelName("m");
  model.service = service.name;
  view->models = {model};
  router::EngineView only;
  only.id = EngineId("engine");
  only.service = service.name;
  only.model = model.name;
  only.endpoint = engine;
  only.dispatchable_until = MonotonicTime::max();
  only.load.kv_tokens_capacity = 1ULL << 40U;
  view->engines = {only};
  return view;
}

/// The engine costs nothing, so the router must not expect it to.
router::GoodputRouterParameters free_engine() {
  router::GoodputRouterParameters parameters;
  parameters.cost.step_base = 1e-9;
  parameters.cost.prefill_token = 1e-12;
  parameters.cost.prefill_token_context = 0;
  parameters.cost.decode_sequence = 1e-12;
  parameters.cost.context_token = 0;
  return parameters;
}

}  // namespace

void LoopThread::stop() {
  if (!thread_.joinable()) {
    return;
  }
  loop_.stop();
  thread_.join();
}

void LoopThread::call(const std::function<void()>& task) {
  std::promise<void> done;
  loop_.post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

double LoopThread::processor_seconds() {
  clockid_t clock = 0;
  timespec used{};
  pthread_getcpuclockid(thread_.native_handle(), &clock);
  clock_gettime(clock, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

NoCostEngine::NoCostEngine() : server_(thread_.loop(), loopback()), timer_(thread_.loop()) {
  server_.route(
      "/", [this](const http::Request& request, std::shared_ptr<http::ResponseWriter> response) {
        handle(request, std::move(response));
      });
  static_cast<void>(server_.listen().value());
  timer_.arm(kSlowTokenInterval, [this] { send_tokens(); });
  thread_.start();
}

NoCostEngine::~NoCostEngine() {
  thread_.stop();
}

void NoCostEngine::handle(const http::Request& request,
                          std::shared_ptr<http::ResponseWriter> response) {
  const std::string id(http::find_header(request.headers, kRequestIdHeader));
  const http::Header echo{std::string(kRequestIdHeader), id};
  if (request.body.view().find(kStreamMember) == std::string_view::npos) {
    response->respond(200, {echo, {"content-type", "application/json"}},
                      R"({"id":")" + id + R"(","choices":[{"index":0,"text":" token"}]})");
    return;
  }
  response->send_head({200, {echo, {"content-type", "text/event-stream"}}});
  response->send_body(token_event(id, 0));
  streams_.push_back({id, 1, std::move(response)});
}

void NoCostEngine::send_tokens() {
  std::erase_if(streams_, [](const SlowStream& stream) { return stream.writer->closed(); });
  for (SlowStream& stream : streams_) {
    stream.writer->send_body(token_event(stream.id, stream.offset++));
  }
  timer_.arm(kSlowTokenInterval, [this] { send_tokens(); });
}

/// The service may be repeated, so nothing is ever claimed.
class ProxyUnderTest::NoClaims final : public proxy::ClaimService {
 public:
  void claim(const ledger::ClaimKey& /*key*/, std::uint64_t /*body_hash*/,
             std::function<void(ledger::ClaimResult)> /*done*/) override {}
  void record(const ledger::ClaimKey& /*key*/, ledger::RecordedOutcome /*outcome*/) override {}
  void release(const ledger::ClaimKey& /*key*/) override {}
};

ProxyUnderTest::ProxyUnderTest(const Endpoint& engine)
    : router_(free_engine(), 1), claims_(std::make_unique<NoClaims>()) {
  proxy::ProxyLoopSettings settings;
  settings.server = loopback();
  proxy_ = std::make_unique<proxy::ProxyLoop>(
      proxy::ProxyLoopEnvironment{thread_.loop(), random_, router_, *claims_, logger_}, settings,
      nullptr);
  static_cast<void>(proxy_->listen().value());
  proxy_->publish(make_view(engine));
  thread_.start();
}

ProxyUnderTest::~ProxyUnderTest() {
  thread_.stop();
}

}  // namespace ochrespring::bench
