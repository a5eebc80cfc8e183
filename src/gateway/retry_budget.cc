#include "gateway/retry_budget.h"

#include <algorithm>

namespace ochrespring::gateway {

void RetryBudget::note_request(const ServiceName& service, MonotonicTime now) {
  Window& window = windows_[service];
  forget_old(window, now);
  window.requests.push_back(now);
}

bool RetryBudget::spend(const ServiceName& service, std::uint32_t nodes, MonotonicTime now) {
  Window& window = windows_[service];
  forget_old(window, now);
  const bool knows_window = !started_ || now - *started_ >= settings_.window;
  const double share = knows_window ? settings_.slack / std::max<std::uint32_t>(nodes, 1) : 0;
  const double allowed =
      kCaution * (settings_.ratio * static_cast<double>(window.requests.size()) + share);
  if (static_cast<double>(window.repeats.size()) + 1 > allowed) {
    return false;
  }
  window.repeats.push_back(now);
  return true;
}

void RetryBudget::forget_old(Window& window, MonotonicTime now) const {
  const MonotonicTime horizon = now - settings_.window;
  for (auto* times : {&window.requests, &window.repeats}) {
    while (!times->empty() && times->front() < horizon) {
      times->pop_front();
    }
  }
}

}  // namespace ochrespring::gateway
