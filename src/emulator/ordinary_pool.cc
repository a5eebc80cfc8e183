#include "emulator/ordinary_pool.h"

#include <algorithm>
#include <utility>

namespace ochrespring::emulator {

OrdinaryPool::OrdinaryPool(const Deployment& deployment) : deployment_(deployment) {
  const std::size_t count = deployment.ordinary_per_zone * deployment.zones.size();
  for (std::size_t i = 0; i < count; ++i) {
    OrdinaryBackend backend;
    backend.id = EngineId("backend-" + std::to_string(i));
    backend.zone = static_cast<std::uint32_t>(i % deployment.zones.size());
    backends_.push_back(std::move(backend));
  }
}

bool OrdinaryPool::accept(std::uint32_t index, OrdinaryAttempt attempt, MonotonicTime now,
                          EventQueue& events) {
  OrdinaryBackend& backend = backends_[index];
  if (now < backend.out_until) {
    return false;
  }
  if (backend.running.size() < deployment_.ordinary.concurrency) {
    start(index, attempt, now, events);
  } else {
    backend.queue.push_back(attempt);
  }
  return true;
}

void OrdinaryPool::start(std::uint32_t index, OrdinaryAttempt attempt, MonotonicTime now,
                         EventQueue& events) {
  backends_[index].running.push_back(attempt);
  Event done;
  done.at = now + deployment_.ordinary.service_time;
  done.kind = EventKind::kOrdinaryDone;
  done.target = index;
  done.subject = attempt.request;
  done.detail = attempt.attempt;
  events.push(done);
}

bool OrdinaryPool::complete(std::uint32_t index, OrdinaryAttempt attempt, MonotonicTime now,
                            EventQueue& events) {
  OrdinaryBackend& backend = backends_[index];
  const auto found =
      std::find_if(backend.running.begin(), backend.running.end(), [&](const auto& running) {
        return running.request == attempt.request && running.attempt == attempt.attempt;
      });
  if (found == backend.running.end()) {
    return false;
  }
  backend.running.erase(found);
  if (!backend.queue.empty()) {
    const OrdinaryAttempt next = backend.queue.front();
    backend.queue.pop_front();
    start(index, next, now, events);
  }
  return true;
}

std::vector<OrdinaryAttempt> OrdinaryPool::crash(std::uint32_t index, MonotonicTime until) {
  OrdinaryBackend& backend = backends_[index];
  std::vector<OrdinaryAttempt> lost = std::exchange(backend.running, {});
  lost.insert(lost.end(), backend.queue.begin(), backend.queue.end());
  backend.queue.clear();
  backend.out_until = until;
  return lost;
}

router::EngineView OrdinaryPool::view(std::uint32_t index, MonotonicTime now) const {
  const OrdinaryBackend& backend = backends_[index];
  router::EngineView view;
  view.id = backend.id;
  view.service = deployment_.ordinary_service.name;
  view.zone = deployment_.zones[backend.zone];
  view.role = fleet::EngineRole::kOrdinary;
  view.dispatchable_until = now + std::chrono::seconds(2);
  const bool out = now < backend.out_until || backend.silent;
  view.phase = out ? engine::EnginePhase::kStarting : engine::EnginePhase::kServing;
  view.load.running_sequences =
      static_cast<std::uint32_t>(backend.running.size() + backend.queue.size());
  view.load_taken = now;
  return view;
}

}  // namespace ochrespring::emulator
