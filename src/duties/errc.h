// Errors of calls that only the holder of the duties makes.
#pragma once

#include <functional>

#include "base/result.h"

namespace ochrespring::duties {

enum class DutyErrc {
  kNotDone,        ///< No effect: no connection, or the receiver reported a failure.
  kUnknownEffect,  ///< No answer: the call may have been executed, or may still be.
  kRateLimited,    ///< Too many calls; no effect.
  kRefused,        ///< No effect: a higher fence was seen (do not retry), or the request cannot be
                   ///< granted at present (may be retried later).
};

using DutyError = LayerError<DutyErrc>;
using DutyResult = Result<void, DutyError>;

/// Completion callback; runs once, on the caller's loop, never from within the call.
using DutyCallback = std::function<void(DutyResult)>;

}  // namespace ochrespring::duties
