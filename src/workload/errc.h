// Errors of workload files and traces.
#pragma once

#include <cstdint>

#include "base/result.h"

namespace ochrespring::workload {

enum class WorkloadErrc : std::uint8_t {
  kUnreadable,  ///< The file cannot be opened.
  kMalformed,   ///< Not YAML, or not JSON on one of the lines.
  kInvalid,     ///< A field is missing, unknown or out of range; the message names it.
};

using WorkloadError = LayerError<WorkloadErrc>;

}  // namespace ochrespring::workload
