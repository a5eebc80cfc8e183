// The KV cache that a prefill engine has created for one request, held until the engine that runs
// the request takes it or it is released.
#pragma once

#include <optional>
#include <utility>

#include "gateway/backend_request.h"
#include "gateway/environment.h"
#include "gateway/load_table.h"

namespace ochrespring::gateway {

/// Holds the handle of the KV cache that a prefill engine created for one request, and releases the
/// cache if it is not used. Used from one event loop.
class PrefillCacheHolder {
 public:
  /// `environment` must outlive this object.
  explicit PrefillCacheHolder(Environment& environment) : environment_(environment) {}

  void hold(CacheHandle handle) { handle_ = std::move(handle); }
  bool held() const { return handle_.has_value(); }
  const std::optional<CacheHandle>& handle() const { return handle_; }
  /// Handles the end of an attempt that was offered the cache: releases it, keeps it for another
  /// attempt, or drops the handle because the cache may have been taken.
  void note_end(AttemptOutcome outcome);
  /// Releases a cache that will not be used.
  void release();

 private:
  Environment& environment_;
  std::optional<CacheHandle> handle_;
};

}  // namespace ochrespring::gateway
