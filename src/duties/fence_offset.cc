#include "duties/types.h"

namespace ochrespring::duties {

namespace {

/// Exceeds the number of revisions in one store era: at 1,000 changes a second it is reached after
/// 49 days. Fences stay below 2^53, the range that every JSON parser represents exactly, for two
/// million eras.
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
