#include "gateway/other_attempts.h"

#include <algorithm>

namespace ochrespring::gateway {

std::unique_ptr<Attempt> OtherAttempts::take(const Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const auto& other) { return other.get() == &attempt; });
  std::unique_ptr<Attempt> taken = std::move(*found);
  attempts_.erase(found);
  return taken;
}

Attempt* OtherAttempts::heard_last() const {
  const auto found = std::max_element(
      attempts_.begin(), attempts_.end(),
      [](const auto& left, const auto& right) { return left->last_heard < right->last_heard; });
  return found == attempts_.end() ? nullptr : found->get();
}

Attempt* OtherAttempts::expected_to_answer() const {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [](const auto& attempt) { return !attempt->stalled; });
  return found == attempts_.end() ? nullptr : found->get();
}

}  // namespace ochrespring::gateway
