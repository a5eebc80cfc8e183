// Compression of what goes over the wire in bulk (zlib).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "wire/errc.h"

namespace ochrespring::wire {

/// Largest size accepted after decompression, in bytes: what a peer sends may not fill the memory.
inline constexpr std::size_t kLargestInflatedBytes = 64U << 20U;

/// Compressed bytes.
std::string compress(std::string_view bytes);
/// Original bytes; kMalformed if damaged or above kLargestInflatedBytes.
Result<std::string, WireError> decompress(std::string_view bytes);

}  // namespace ochrespring::wire
