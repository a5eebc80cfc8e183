#include "gateway/prompt_cache.h"

#include <chrono>

namespace ochrespring::gateway {

namespace {

constexpr Duration kReleaseTimeout = std::chrono::milliseconds(1000);

}  // namespace

void PrefillCacheHolder::note_end(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kRefused) {
    release();
  } else if (outcome != AttemptOutcome::kUnreachable && outcome != AttemptOutcome::kNotSent &&
             outcome != AttemptOutcome::kReplaced) {
    // The cache may have been taken: a handle is valid for one use.
    handle_.reset();
  }
}

void PrefillCacheHolder::release() {
  if (!handle_) {
    return;
  }
  if (environment_.gate != nullptr &&
      environment_.gate->is_paused(handle_->engine, environment_.clock.now())) {
    // The engine's cache entry expires by itself.
    handle_.reset();
    return;
  }
  http::ClientRequest request = environment_.engines.release_cache(handle_->handle);
  request.endpoint = handle_->address;
  request.timeout = kReleaseTimeout;
  handle_.reset();
  environment_.transport.send_and_forget(std::move(request));
}

}  // namespace ochrespring::gateway
