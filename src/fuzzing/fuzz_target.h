// Entry point that libFuzzer calls; each target defines it once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace ochrespring::fuzzing {

inline std::string_view text_of(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Ends the process when a property does not hold, in every build type.
inline void require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

}  // namespace ochrespring::fuzzing
