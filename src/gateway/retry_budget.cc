#include "gateway/retry_budget.h"

#include <algorithm>

namespace ochrespring::gateway {

void RetryBudget::note_request(const ServiceName& service, MonotonicTime now) {
  Window& window = windows_[service];
  drop_expired(window, now);
  window.requests.push_back(now);
}

RetryBudgetUse RetryBudget::use(const ServiceName& service, std::uint32_t nodes,
                                MonotonicTime now) {
  Window& window = windows_[service];
  drop_expired(window, now);
  const bool history_complete = !started_at_ || now - *started_at_ >= settings_.window;
  const double earned = settings_.ratio * static_cast<double>(window.requests.size());
  const double slack_part = settings_.slack / std::max<std::uint32_t>(nodes, 1);
  const double allowed =
      history_complete ? kSpendableShare * (earned + slack_part) : (1 - kSpendableShare) * earned;
  return {.charged = window.open + window.settled.size(), .allowed = allowed};
}

bool RetryBudget::open(const ServiceName& service, std::uint32_t nodes, MonotonicTime now) {
  const RetryBudgetUse before = use(service, nodes, now);
  if (static_cast<double>(before.charged) + 1 > before.allowed) {
    return false;
  }
  ++windows_[service].open;
  return true;
}

void RetryBudget::settle(const ServiceName& service, std::uint32_t count, MonotonicTime now) {
  Window& window = windows_[service];
  window.open -= count;
  window.settled.insert(window.settled.end(), count, now);
}

void RetryBudget::drop_expired(Window& window, MonotonicTime now) const {
  const MonotonicTime horizon = now - settings_.window;
  for (auto* times : {&window.requests, &window.settled}) {
    while (!times->empty() && times->front() < horizon) {
      times->pop_front();
    }
  }
}

}  // namespace ochrespring::gateway
