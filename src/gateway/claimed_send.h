// A choice that waits for leave to be sent.
#pragma once

#include <cstdint>

#include "gateway/attempt.h"
#include "gateway/placement.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// By ids: back ends may go meanwhile.
struct ClaimedSend {
  BackendId backend;
  std::uint64_t unread_tokens = 0;
  BackendId cache_source;  ///< Empty: none.
  SendKind kind = SendKind::kRun;

  static ClaimedSend of(const PlacementChoice& choice, SendKind kind) {
    return {.backend = choice.backend->id,
            .unread_tokens = choice.prefill_tokens,
            .cache_source = choice.fetch_source != nullptr ? choice.fetch_source->id : BackendId(),
            .kind = kind};
  }
};

}  // namespace ochrespring::gateway
