// A placement choice whose rate-limit claim is pending.
#pragma once

#include <cstdint>

#include "gateway/attempt.h"
#include "gateway/placement.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// A placement choice whose claim is pending. Refers to back ends by id, since they may be removed
/// while the claim is pending.
struct ClaimedSend {
  BackendId backend;
  std::uint64_t prefill_tokens = 0;
  BackendId cache_source;  ///< Empty if there is none.
  SendKind kind = SendKind::kRun;

  static ClaimedSend of(const PlacementChoice& choice, SendKind kind) {
    return {.backend = choice.backend->id,
            .prefill_tokens = choice.prefill_tokens,
            .cache_source = choice.fetch_source != nullptr ? choice.fetch_source->id : BackendId(),
            .kind = kind};
  }
};

}  // namespace ochrespring::gateway
