// Errors of the platform's services as adapters report them.
#pragma once

#include <functional>

#include "base/result.h"

namespace ochrespring::external {

enum class ExternalErrc {
  kNotSent,        ///< Nothing left this process: the call had no effect.
  kUnknownEffect,  ///< The call left and no answer came: it may have taken effect.
  kRateLimited,    ///< The service refused for its rate limit: no effect.
  kStaleFence,     ///< The engine has seen a higher fence: no effect.
  kBusy,           ///< The engine is carrying out another order: no effect.
  kNotFound,
  kRefused,    ///< The service refused for another stated reason: no effect.
  kMalformed,  ///< The answer could not be understood; the effect is unknown.
};

using ExternalError = LayerError<ExternalErrc>;

/// Completion of a platform call; runs once, on the caller's event loop, never inside the call.
template <class T>
using ExternalCallback = std::function<void(Result<T, ExternalError>)>;

}  // namespace ochrespring::external
