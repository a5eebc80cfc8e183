// Errors of calls to the shared store.
#pragma once

#include <functional>

#include "base/result.h"

namespace ochrespring::shared_store {

enum class StoreErrc {
  kNotDone,             ///< Certainly without effect: no connection, or the store said so.
  kUnknownEffect,       ///< No answer: it may have been done, or may be done later.
  kRateLimited,         ///< Refused for the rate of calls: without effect.
  kHistoryUnavailable,  ///< A watch asked for changes that are no longer kept: list again.
  kNotFound,            ///< No such key or lease.
  kConflict,            ///< A condition did not hold: without effect.
  kMalformed,           ///< The answer could not be understood: as if there had been none.
};

using StoreError = LayerError<StoreErrc>;

/// Completion of a call; runs once, on the caller's loop, never inside the call.
template <class T>
using StoreCallback = std::function<void(Result<T, StoreError>)>;

}  // namespace ochrespring::shared_store
