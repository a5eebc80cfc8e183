// Counts of the gaps between a stream's tokens, with fixed buckets so that the difference of two
// snapshots is the histogram of what came between them.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::engine_model {

/// Histogram of spans: half-millisecond buckets up to 64 ms, 8 ms buckets up to 576 ms, one above.
class GapHistogram {
 public:
  /// Counts one gap.
  void add(Duration gap, std::uint32_t count = 1);
  /// Adds all counts of another histogram.
  void merge(const GapHistogram& other);
  /// What was counted after `earlier`, an older snapshot of this histogram.
  GapHistogram since(const GapHistogram& earlier) const;
  /// Upper edge of the bucket that holds the quantile, `fraction` in (0, 1]; zero when empty.
  Duration quantile(double fraction) const;
  /// Number of gaps counted.
  std::uint64_t total() const { return total_; }

 private:
  static constexpr std::size_t kFineBuckets = 128;
  static constexpr std::size_t kCoarseBuckets = 64;
  static constexpr std::size_t kBuckets = kFineBuckets + kCoarseBuckets + 1;

  static std::size_t bucket_of(Duration gap);
  static Duration upper_edge(std::size_t bucket);

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint64_t total_ = 0;
};

}  // namespace ochrespring::engine_model
