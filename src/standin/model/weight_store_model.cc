#include "standin/model/weight_store_model.h"

#include <algorithm>

namespace ochrespring::standin {

std::optional<Duration> WeightStoreModel::start(std::uint64_t bytes) {
  const MonotonicTime now = clock_.now();
  std::erase_if(ends_, [now](MonotonicTime end) { return end <= now; });
  if (ends_.size() >= settings_.concurrent_fetches) {
    ++refused_;
    return std::nullopt;
  }
  ++fetches_;
  if (settings_.bytes_per_second <= 0) {
    return Duration::zero();
  }
  // The bandwidth is shared first come, first served: a fetch starts when the ones before it end.
  const MonotonicTime begin = ends_.empty() ? now : std::max(now, ends_.back());
  const MonotonicTime end =
      begin + from_seconds(static_cast<double>(bytes) / settings_.bytes_per_second);
  ends_.push_back(end);
  return end - now;
}

Duration WeightStoreModel::retry_after() const {
  if (ends_.empty()) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), ends_.front() - clock_.now());
}

}  // namespace ochrespring::standin
