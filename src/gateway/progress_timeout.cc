#include "gateway/progress_timeout.h"

#include <algorithm>
#include <chrono>

namespace ochrespring::gateway {

namespace {

constexpr int kTargetLatencyFactor = 3;
constexpr Duration kMinProgressTimeout = std::chrono::milliseconds(300);
/// 2.5 times the target latency, as a fraction because durations are integers.
constexpr int kFirstEventLatencyNumerator = 5;
constexpr int kFirstEventLatencyDenominator = 2;
constexpr int kTargetGapFactor = 3;

}  // namespace

Duration progress_timeout(const Route& route, bool head_sent, Duration left) {
  if (route.kind != RequestKind::kStreaming) {
    return std::max<Duration>(kTargetLatencyFactor * route.target_latency, kMinProgressTimeout);
  }
  if (head_sent) {
    return std::max<Duration>(kTargetGapFactor * route.target_gap, kMinProgressTimeout);
  }
  return std::max<Duration>(
      kFirstEventLatencyNumerator * route.target_latency / kFirstEventLatencyDenominator, left / 2);
}

}  // namespace ochrespring::gateway
