#include "capacity/hollow_engines.h"

#include <algorithm>
#include <utility>

#include "capacity/node_meter.h"
#include "external/http/json.h"

namespace ochrespring::capacity {

namespace {

using external::ExternalCallback;
using external::ExternalErrc;
using external::ExternalError;

constexpr std::uint64_t kKvTokens = 600000;
constexpr std::uint32_t kMostRunning = 64;
constexpr std::uint32_t kTokensPerSequence = 3000;
constexpr std::uint32_t kTokensPerQueued = 2000;
constexpr float kPrefillRate = 12000;
constexpr float kDecodeRate = 1500;
constexpr float kRateSwing = 0.02F;
constexpr Duration kReportLag = std::chrono::milliseconds(150);
constexpr Duration kCallDelay = std::chrono::milliseconds(2);

}  // namespace

HollowEngines::HollowEngines(RandomSource& random, const fleet::FleetDocument& document)
    : random_(random) {
  std::map<ServerId, std::vector<Endpoint>> servers;
  for (const fleet::Engine& engine : document.engines) {
    servers[engine.server].push_back(engine.endpoint);
  }
  for (const fleet::Engine& engine : document.engines) {
    State& state = engines_[engine.endpoint];
    state.server = servers[engine.server];
    state.status.engine = engine.id;
    state.status.role = engine.role;
    state.status.model = engine.model;
    state.status.incarnation = Incarnation(random_.next() >> 16U);
    state.load.engine = engine.id;
    state.load.incarnation = state.status.incarnation;
    state.load.kv_tokens_capacity = kKvTokens;
    state.load.running_sequences = static_cast<std::uint32_t>(random_.below(kMostRunning));
  }
}

void HollowEngines::wander(State& state) {
  engine::LoadReport& load = state.load;
  ++load.sequence;
  load.age = random_.jitter(kReportLag, 0.5);
  const auto step = static_cast<std::int64_t>(random_.below(9)) - 4;
  const auto running = static_cast<std::int64_t>(load.running_sequences) + step;
  load.running_sequences =
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(running, 0, kMostRunning));
  load.queued_requests = static_cast<std::uint32_t>(random_.below(8));
  load.queued_prefill_tokens =
      load.queued_requests * kTokensPerQueued + static_cast<std::uint32_t>(random_.below(500));
  load.context_tokens = static_cast<std::uint64_t>(load.running_sequences) * kTokensPerSequence;
  load.kv_tokens_used = std::min(load.context_tokens + random_.below(20000), kKvTokens);
  const float swing = 1 + kRateSwing * static_cast<float>(2 * random_.unit() - 1);
  load.prefill_tokens_per_second = kPrefillRate * swing;
  load.decode_tokens_per_second = kDecodeRate * swing;
}

std::vector<engine::LoadReport> HollowEngines::load(const Endpoint& endpoint) {
  std::vector<engine::LoadReport> reports;
  const auto found = engines_.find(endpoint);
  if (found == engines_.end()) {
    return reports;
  }
  for (const Endpoint& sibling : found->second.server) {
    State& state = engines_.at(sibling);
    wander(state);
    reports.push_back(state.load);
  }
  return reports;
}

engine::EngineStatus HollowEngines::status(const Endpoint& endpoint) {
  const auto found = engines_.find(endpoint);
  return found == engines_.end() ? engine::EngineStatus{} : found->second.status;
}

Result<engine::EngineStatus, ExternalError> HollowEngines::order(const Endpoint& endpoint,
                                                                 const engine::EngineOrder& order) {
  const auto found = engines_.find(endpoint);
  if (found == engines_.end()) {
    return fail(ExternalErrc::kNotSent, "no such engine");
  }
  engine::EngineStatus& status = found->second.status;
  if (order.fence <= status.highest_fence) {
    return fail(ExternalErrc::kStaleFence, "a higher fence was seen");
  }
  status.highest_fence = order.fence;
  status.last_completed = order.fence;
  if (order.action == engine::OrderAction::kChangeRole) {
    status.role = order.role;
  }
  return status;
}

template <class T>
void HollowEngineControl::answer(ExternalCallback<T> done, Result<T, ExternalError> result) {
  ++calls_;
  bytes_received_ += kAnswerBytes;
  time_.schedule_after(kCallDelay, [this, done = std::move(done), result = std::move(result),
                                    guard = std::weak_ptr<bool>(alive_)] {
    if (!guard.expired()) {
      runner_([&] { done(result); });
    }
  });
}

void HollowEngineControl::status(const Endpoint& engine,
                                 ExternalCallback<engine::EngineStatus> done) {
  answer<engine::EngineStatus>(std::move(done), engines_.status(engine));
}

void HollowEngineControl::order(const Endpoint& engine, const engine::EngineOrder& order,
                                ExternalCallback<engine::EngineStatus> done) {
  answer<engine::EngineStatus>(std::move(done), engines_.order(engine, order));
}

void HollowEngineControl::load(const Endpoint& engine,
                               ExternalCallback<std::vector<engine::LoadReport>> done) {
  ++calls_;
  std::string text;
  {
    const UnmeteredScope unmetered;
    external::Json json = external::Json::array();
    for (const engine::LoadReport& report : engines_.load(engine)) {
      json.push_back(external::json_of(report));
    }
    text = json.dump();
  }
  bytes_received_ += kAnswerBytes + text.size();
  time_.schedule_after(kCallDelay, [this, done = std::move(done), text = std::move(text),
                                    guard = std::weak_ptr<bool>(alive_)] {
    if (guard.expired()) {
      return;
    }
    runner_([&] {
      std::vector<engine::LoadReport> reports;
      for (const external::Json& report : external::Json::parse(text)) {
        reports.push_back(external::load_report_of(report));
      }
      done(std::move(reports));
    });
  });
}

void HollowEngineControl::cache_events(const Endpoint& /*engine*/, std::uint64_t /*after*/,
                                       ExternalCallback<external::CacheEventBatch> done) {
  answer<external::CacheEventBatch>(std::move(done), external::CacheEventBatch{});
}

}  // namespace ochrespring::capacity
