#include "simulation/engine_control_client.h"

#include "simulation/remote_call.h"

namespace ochrespring::simulation {

using engine::EngineStatus;
using engine::LoadReport;
using external::CacheEventBatch;
using external::ExternalCallback;
using external::ExternalErrc;
using external::ExternalError;

template <class T>
void EngineControlClient::call(const Endpoint& endpoint,
                               std::function<Result<T, ExternalError>(SimulatedEngine&)> effect,
                               ExternalCallback<T> done) {
  const auto found = engines_.find(endpoint);
  SimulatedEngine* const engine = found == engines_.end() ? nullptr : found->second;
  if (engine == nullptr || !engine->listening()) {
    process_.post([done = std::move(done)] {
      done(fail(ExternalErrc::kNotSent, "engine refused the connection"));
    });
    return;
  }
  CallRoute route;
  route.from = self_;
  route.to = endpoint.value();
  route.lost_answer = lost_answer_;
  route.lost_answer_kind = FaultKind::kEngineAnswerLost;
  remote_call<T>(
      surroundings_.network, process_, route,
      [engine, connected = engine->incarnation(),
       effect = std::move(effect)]() -> std::optional<Result<T, ExternalError>> {
        if (!engine->listening() || engine->incarnation() != connected) {
          return std::nullopt;
        }
        return effect(*engine);
      },
      std::move(done));
}

void EngineControlClient::status(const Endpoint& engine, ExternalCallback<EngineStatus> done) {
  call<EngineStatus>(
      engine,
      [hidden = testing_faults_.hides_in_flight](SimulatedEngine& target) {
        EngineStatus status = target.status();
        status.in_flight = hidden ? 0 : status.in_flight;
        return status;
      },
      std::move(done));
}

void EngineControlClient::order(const Endpoint& engine, const engine::EngineOrder& order,
                                ExternalCallback<EngineStatus> done) {
  if (testing_faults_.sends_orders_twice) {
    engine::EngineOrder again = order;
    ++again.fence.sequence;
    call<EngineStatus>(
        engine,
        [again, sender = node_, sent = surroundings_.time.now()](SimulatedEngine& target) {
          return target.order(again, sender, sent);
        },
        [](auto) {});
  }
  call<EngineStatus>(
      engine,
      [order, sender = node_, sent = surroundings_.time.now()](SimulatedEngine& target) {
        return target.order(order, sender, sent);
      },
      std::move(done));
}

void EngineControlClient::load(const Endpoint& engine,
                               ExternalCallback<std::vector<LoadReport>> done) {
  call<std::vector<LoadReport>>(
      engine, [](SimulatedEngine& target) { return target.load(); }, std::move(done));
}

void EngineControlClient::cache_events(const Endpoint& engine, std::uint64_t /*after*/,
                                       ExternalCallback<CacheEventBatch> done) {
  call<CacheEventBatch>(
      engine,
      [](SimulatedEngine& target) {
        return CacheEventBatch{target.incarnation(), {}};
      },
      std::move(done));
}

}  // namespace ochrespring::simulation
