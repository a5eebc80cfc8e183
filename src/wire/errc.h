// Errors of the internal wire codec.
#pragma once

#include "base/result.h"

namespace ochrespring::wire {

enum class WireErrc {
  kTruncated,      ///< The input ends before the message is complete.
  kTrailingBytes,  ///< Bytes remain after the message.
  kMalformed,      ///< A length or value is out of range.
};

using WireError = LayerError<WireErrc>;

}  // namespace ochrespring::wire
