// What one attempt asks of an engine.
#pragma once

#include <cstdint>

namespace ochrespring::gateway {

struct AttemptWork {
  std::uint64_t tokens = 0;  ///< Of the prompt, to be read.
  bool urgent = true;        ///< Read before all that is late already.
  bool long_stream = false;  ///< Runs long enough to meet what is read beside it.
};

}  // namespace ochrespring::gateway
