#include "gateway/prompt_cache.h"

#include <chrono>

namespace ochrespring::gateway {

namespace {

constexpr Duration kReleaseTimeout = std::chrono::milliseconds(1000);

}  // namespace

void PromptCache::note_end(AttemptVerdict verdict) {
  if (verdict == AttemptVerdict::kRefused) {
    release();
  } else if (verdict != AttemptVerdict::kUnreachable && verdict != AttemptVerdict::kNotSent &&
             verdict != AttemptVerdict::kReplaced) {
    // Taken: a handle serves once.
    handle_.reset();
  }
}

void PromptCache::release() {
  if (!handle_) {
    return;
  }
  if (environment_.gate != nullptr &&
      environment_.gate->is_backing_off(handle_->engine, environment_.clock.now())) {
    // It lapses by itself.
    handle_.reset();
    return;
  }
  http::ClientRequest request = environment_.engine_calls.release_cache(handle_->handle);
  request.endpoint = handle_->address;
  request.timeout = kReleaseTimeout;
  handle_.reset();
  environment_.transport.send_and_forget(std::move(request));
}

}  // namespace ochrespring::gateway
