// Errors of calls that only the holder of the duties makes.
#pragma once

#include <functional>

#include "base/result.h"

namespace ochrespring::duties {

enum class DutyErrc {
  kNotDone,        ///< Certainly without effect: no connection, or the other side said so.
  kUnknownEffect,  ///< No answer: it may have been done, or may be done later.
  kRateLimited,    ///< Too many calls: without effect.
  kRefused,        ///< Refused for good: a higher fence was seen, or it cannot be had now.
};

using DutyError = LayerError<DutyErrc>;
using DutyResult = Result<void, DutyError>;

/// Completion of a call; runs once, on the caller's loop, never inside the call.
using DutyCallback = std::function<void(DutyResult)>;

}  // namespace ochrespring::duties
