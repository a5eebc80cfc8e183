// The KV cache that a prefill engine made for one request: kept until a runner takes it or it is
// freed.
#pragma once

#include <optional>
#include <utility>

#include "gateway/backend_request.h"
#include "gateway/environment.h"
#include "gateway/load_table.h"

namespace ochrespring::gateway {

/// One request's; one loop.
class PromptCache {
 public:
  /// `environment` outlives it.
  explicit PromptCache(Environment& environment) : environment_(environment) {}

  void hold(CacheHandle handle) { handle_ = std::move(handle); }
  bool held() const { return handle_.has_value(); }
  const std::optional<CacheHandle>& handle() const { return handle_; }
  /// An attempt that was offered the cache has ended: it may have been taken, or be offered again.
  void note_end(AttemptOutcome verdict);
  /// Frees a cache that nobody will take.
  void release();

 private:
  Environment& environment_;
  std::optional<CacheHandle> handle_;
};

}  // namespace ochrespring::gateway
