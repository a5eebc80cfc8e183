// The weight store's pace: one bandwidth shared by all fetches, and a limit on fetches at once.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace ochrespring::standin {

struct WeightStoreSettings {
  double bytes_per_second = 10e9;  ///< Shared by all fetches; zero: no limit.
  std::uint32_t concurrent_fetches = 4;
};

/// Single-threaded.
class WeightStoreModel {
 public:
  WeightStoreModel(const Clock& clock, WeightStoreSettings settings)
      : clock_(clock), settings_(settings) {}

  /// Time a fetch of `bytes` takes, or nothing if too many are running: no effect, ask again.
  std::optional<Duration> start(std::uint64_t bytes);
  /// Time until a refused fetch may be started.
  Duration retry_after() const;
  std::uint64_t fetches() const { return fetches_; }
  std::uint64_t refused() const { return refused_; }

 private:
  const Clock& clock_;
  WeightStoreSettings settings_;
  std::vector<MonotonicTime> ends_;  ///< Of running fetches.
  std::uint64_t fetches_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace ochrespring::standin
