// What limits the sends of one request: the route's attempts, its time, and the retry budget.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "base/time.h"
#include "gateway/environment.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Less time than this is not worth an attempt.
inline constexpr Duration kLeastTime = std::chrono::milliseconds(3);

/// One request's; one loop. References outlive it.
class RepeatLimit {
 public:
  RepeatLimit(Environment& environment, const Route& route)
      : environment_(environment), route_(route) {}

  /// An attempt has ended of which a byte may have left.
  void note_send() { ++sends_; }
  std::uint32_t sends() const { return sends_; }
  /// A send is not counted as one of the route's attempts.
  void allow_one_more() { ++uncounted_; }
  /// Whether the attempt that runs, or with `ended` the last one, is the last of the route.
  bool is_last_attempt(bool ended) const {
    return sends_ + (ended ? 0 : 1) >= route_.max_attempts + uncounted_;
  }

  /// What stands against one more send; empty: nothing. Takes it out of the budget.
  std::string_view obstacle(const ServiceName& service, bool trial, Duration left);
  /// A send that was taken out of the budget did not leave: the next one takes nothing.
  void note_unsent() { ++paid_; }
  /// Takes a send out of the retry budget; false: the budget has none.
  bool spend(const ServiceName& service);

 private:
  Environment& environment_;
  const Route& route_;
  std::uint32_t sends_ = 0;
  std::uint32_t uncounted_ = 0;
  std::uint32_t paid_ = 0;  ///< Taken out of the budget, but not sent.
};

}  // namespace ochrespring::gateway
