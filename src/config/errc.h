// Errors of the configuration layer.
#pragma once

#include <cstdint>

#include "base/result.h"

namespace ochrespring::config {

enum class ConfigErrc : std::uint8_t {
  kMalformed,          ///< Bytes that cannot be understood.
  kUnsupportedFormat,  ///< Written by a newer program; what is in force stays.
  kWrongBase,          ///< A delta against another revision than the one at hand.
  kMismatch,           ///< The result of a delta is not what its author had.
  kUnavailable,        ///< The key-value service gave no answer; nothing was changed.
  kRateLimited,        ///< The key-value service refused for its limit; nothing was changed.
  kUnknownEffect,      ///< The key-value service may have carried out the call.
  kConflict,           ///< Another writer came first.
  kMissing,            ///< A key that must exist does not.
};

using ConfigError = LayerError<ConfigErrc>;

}  // namespace ochrespring::config
