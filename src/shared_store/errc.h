// Error codes of calls to the shared store.
#pragma once

#include <functional>

#include "base/result.h"

namespace ochrespring::shared_store {

enum class StoreErrc {
  kNotExecuted,         ///< Certainly not executed: no connection, or the store said so.
  kUnknownEffect,       ///< No answer: the call may have been executed, or may be executed later.
  kRateLimited,         ///< Rejected by rate limiting; not executed.
  kHistoryUnavailable,  ///< The requested changes are no longer kept; a full listing is needed.
  kNotFound,            ///< No such key or lease.
  kConflict,            ///< A condition of the transaction did not hold; not executed.
  kTooLarge,            ///< The answer is too large to be read; for changes, a listing is needed.
  kMalformed,           ///< The answer could not be parsed; to be treated like a missing answer.
};

using StoreError = LayerError<StoreErrc>;

/// Completion callback of a call. Runs exactly once, on the caller's loop, never inside the call.
template <class T>
using StoreCallback = std::function<void(Result<T, StoreError>)>;

}  // namespace ochrespring::shared_store
