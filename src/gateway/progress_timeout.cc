#include "gateway/progress_timeout.h"

#include <algorithm>
#include <chrono>

namespace ochrespring::gateway {

namespace {

constexpr int kObjectivesToWait = 3;
constexpr Duration kLeastWait = std::chrono::milliseconds(300);
constexpr int kHalfObjectivesToFirstEvent = 5;
constexpr int kGapsToWait = 3;

}  // namespace

Duration patience_with(const Route& route, bool answer_open, Duration left) {
  if (route.kind != RequestKind::kStreaming) {
    return std::max<Duration>(kObjectivesToWait * route.target_latency, kLeastWait);
  }
  if (answer_open) {
    return std::max<Duration>(kGapsToWait * route.target_gap, kLeastWait);
  }
  return std::max<Duration>(kHalfObjectivesToFirstEvent * route.target_latency / 2, left / 2);
}

}  // namespace ochrespring::gateway
