#include "duties/types.h"

namespace ochrespring::duties {

namespace {

/// More changes than the store counts in one life: at 1,000 a second it takes 49 days. Fences stay
/// below 2^53, which every reader of JSON knows exactly, for two million lives.
constexpr std::uint64_t kFencesPerEra = std::uint64_t{1} << 32U;

}  // namespace

FenceOffset compute_fence_offset(shared_store::StoreEra era,
                                 const std::optional<FenceOffset>& last) {
  if (!last) {
    return {.era = era, .offset = 0};
  }
  if (era <= last->era) {
    return *last;
  }
  const std::uint64_t eras = era.value() - last->era.value();
  return {.era = era, .offset = last->offset + eras * kFencesPerEra};
}

}  // namespace ochrespring::duties
