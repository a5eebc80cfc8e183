// How long a back end may make no progress before a retryable request is sent to another one.
#pragma once

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Pure function. `head_sent` says whether the caller has the start of a stream, `left` is the time
/// until the request's deadline. A long prefill before the first event is normal, so it may take
/// half of the time left.
Duration progress_timeout(const Route& route, bool head_sent, Duration left);

}  // namespace ochrespring::gateway
