// How long a back end may send nothing before another one is tried as well.
#pragma once

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Pure function. `head_sent` says whether the caller has the start of a stream, `left` is the time
/// until the request's deadline. Before the first event of a stream, the result is the larger of
/// 2.5 times the target latency and half of `left`, because a long prefill is normal.
Duration progress_timeout(const Route& route, bool head_sent, Duration left);

}  // namespace ochrespring::gateway
