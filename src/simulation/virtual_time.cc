#include "simulation/virtual_time.h"

#include <algorithm>

namespace ochrespring::simulation {

TimerId VirtualTime::schedule_after(Duration delay, std::function<void()> callback) {
  const TimerId timer = next_timer_++;
  const MonotonicTime due = now_ + std::max(delay, Duration::zero());
  events_.emplace(Position{due, timer}, std::move(callback));
  due_.emplace(timer, due);
  return timer;
}

void VirtualTime::cancel(TimerId timer) {
  const auto found = due_.find(timer);
  if (found == due_.end()) {
    return;
  }
  events_.erase(Position{found->second, timer});
  due_.erase(found);
}

bool VirtualTime::step() {
  if (events_.empty()) {
    return false;
  }
  auto event = events_.extract(events_.begin());
  now_ = event.key().first;
  due_.erase(event.key().second);
  event.mapped()();
  return true;
}

void VirtualTime::run_until(MonotonicTime end) {
  while (!events_.empty() && events_.begin()->first.first <= end) {
    step();
  }
  now_ = std::max(now_, end);
}

}  // namespace ochrespring::simulation
