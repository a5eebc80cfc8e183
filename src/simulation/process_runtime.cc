#include "simulation/process_runtime.h"

#include <utility>

namespace ochrespring::simulation {

MonotonicTime ProcessRuntime::now() const {
  const auto elapsed = static_cast<double>(world_.now().time_since_epoch().count());
  const auto local = Duration(static_cast<Duration::rep>(elapsed * drift_.rate));
  return MonotonicTime(local + drift_.offset);
}

TimerId ProcessRuntime::schedule_after(Duration delay, std::function<void()> callback) {
  const TimerId timer = next_timer_++;
  if (!alive_) {
    return timer;
  }
  entries_.emplace(timer, Entry{0, std::move(callback)});
  // Rounded up, so that a timer is never early on the local clock.
  const auto true_delay =
      Duration(static_cast<Duration::rep>(static_cast<double>(delay.count()) / drift_.rate) + 1);
  start(timer, true_delay);
  return timer;
}

void ProcessRuntime::post(std::function<void()> work) {
  if (!alive_) {
    return;
  }
  const TimerId timer = next_timer_++;
  entries_.emplace(timer, Entry{0, std::move(work)});
  start(timer, Duration::zero());
}

void ProcessRuntime::start(TimerId timer, Duration true_delay) {
  entries_.at(timer).world_timer =
      world_.schedule_after(true_delay, [this, timer] { on_due(timer); });
}

void ProcessRuntime::on_due(TimerId timer) {
  if (paused_) {
    held_.push_back(timer);
    return;
  }
  auto entry = entries_.extract(timer);
  if (entry.empty()) {
    return;
  }
  const auto keep_alive = weak_from_this().lock();
  entry.mapped().callback();
}

void ProcessRuntime::cancel(TimerId timer) {
  const auto found = entries_.find(timer);
  if (found == entries_.end()) {
    return;
  }
  world_.cancel(found->second.world_timer);
  entries_.erase(found);
}

void ProcessRuntime::wake() {
  paused_ = false;
  const std::deque<TimerId> due = std::exchange(held_, {});
  for (const TimerId timer : due) {
    if (entries_.contains(timer)) {
      start(timer, Duration::zero());
    }
  }
}

void ProcessRuntime::kill() {
  alive_ = false;
  for (const auto& [timer, entry] : entries_) {
    world_.cancel(entry.world_timer);
  }
  // Destroying a callback may cancel further timers: detach the table first.
  const auto entries = std::exchange(entries_, {});
  held_.clear();
}

}  // namespace ochrespring::simulation
