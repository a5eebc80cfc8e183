// How long a silent back end is borne before a request that may be repeated goes elsewhere.
#pragma once

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Pure. `answer_open` tells whether the caller has the beginning of a stream; `left` is what is
/// left of the request's time. A long prompt before the first event is work, not silence, so half
/// of the time left is given to it.
Duration patience_with(const Route& route, bool answer_open, Duration left);

}  // namespace ochrespring::gateway
