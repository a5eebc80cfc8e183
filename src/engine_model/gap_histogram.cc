#include "engine_model/gap_histogram.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::engine_model {
namespace {

constexpr Duration kFineWidth = std::chrono::microseconds(500);
constexpr Duration kCoarseWidth = std::chrono::milliseconds(8);

}  // namespace

std::size_t GapHistogram::bucket_of(Duration gap) {
  const Duration clipped = std::max(gap, Duration(1));
  // A gap that equals an upper edge belongs to the bucket below it.
  const auto fine = static_cast<std::size_t>((clipped - Duration(1)) / kFineWidth);
  if (fine < kFineBuckets) {
    return fine;
  }
  const Duration fine_span = kFineWidth * kFineBuckets;
  const auto coarse = static_cast<std::size_t>((clipped - Duration(1) - fine_span) / kCoarseWidth);
  return kFineBuckets + std::min(coarse, kCoarseBuckets);
}

Duration GapHistogram::upper_edge(std::size_t bucket) {
  if (bucket < kFineBuckets) {
    return kFineWidth * (bucket + 1);
  }
  return kFineWidth * kFineBuckets + kCoarseWidth * (bucket - kFineBuckets + 1);
}

void GapHistogram::add(Duration gap, std::uint32_t count) {
  counts_.at(bucket_of(gap)) += count;
  total_ += count;
}

void GapHistogram::merge(const GapHistogram& other) {
  for (std::size_t i = 0; i < kBuckets; ++i) {
    counts_[i] += other.counts_[i];
  }
  total_ += other.total_;
}

GapHistogram GapHistogram::since(const GapHistogram& earlier) const {
  GapHistogram difference;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    difference.counts_[i] = counts_[i] - earlier.counts_[i];
  }
  difference.total_ = total_ - earlier.total_;
  return difference;
}

Duration GapHistogram::quantile(double fraction) const {
  if (total_ == 0) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total_)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += counts_[i];
    if (seen >= rank) {
      return upper_edge(i);
    }
  }
  return upper_edge(kBuckets - 1);
}

}  // namespace ochrespring::engine_model
