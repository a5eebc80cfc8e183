#include "control_plane/engine_poller.h"

#include <utility>

namespace ochrespring::control_plane {

EnginePoller::EnginePoller(const Clock& clock, TimerService& timers,
                           external::EngineControl& control, Duration interval)
    : clock_(clock), control_(control), interval_(interval), timer_(timers) {}

void EnginePoller::configure(const fleet::FleetDocument& document) {
  std::map<EngineId, Polled> engines;
  for (const fleet::Engine& engine : document.engines) {
    if (engine.role == fleet::EngineRole::kOrdinary) {
      continue;
    }
    const auto known = engines_.find(engine.id);
    Polled polled;
    if (known != engines_.end() && known->second.endpoint == engine.endpoint) {
      polled = known->second;
    }
    polled.endpoint = engine.endpoint;
    engines.emplace(engine.id, std::move(polled));
  }
  engines_ = std::move(engines);
  if (!timer_.armed()) {
    poll_all();
  }
}

const EngineObservation* EnginePoller::find(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second.observation;
}

void EnginePoller::poll_all() {
  for (auto& [id, polled] : engines_) {
    if (!polled.status_pending) {
      poll_status(id, polled);
    }
  }
  timer_.arm(interval_, [this] { poll_all(); });
}

void EnginePoller::poll_status(const EngineId& id, Polled& polled) {
  polled.status_pending = true;
  ++statistics_.status_calls;
  control_.status(polled.endpoint, [this, id, still = std::weak_ptr(alive_)](auto result) {
    if (still.expired()) {
      return;
    }
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
      return;
    }
    found->second.status_pending = false;
    EngineObservation& observation = found->second.observation;
    if (!result) {
      ++observation.failures;
      ++statistics_.status_failures;
      return;
    }
    observation.failures = 0;
    observation.status = std::move(result).value();
    observation.status_read = clock_.now();
  });
}

}  // namespace ochrespring::control_plane
