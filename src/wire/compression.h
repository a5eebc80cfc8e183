// Compression (zlib) of bulk data sent between nodes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "wire/errc.h"

namespace ochrespring::wire {

/// Maximum size after decompression in bytes, so that input from a peer cannot exhaust the memory.
inline constexpr std::size_t kMaxDecompressedBytes = 64U << 20U;

/// Compresses `bytes`.
std::string compress(std::string_view bytes);
/// Decompresses `bytes`. Fails with kMalformed if they are corrupt or the result exceeds
/// kMaxDecompressedBytes.
Result<std::string, WireError> decompress(std::string_view bytes);

}  // namespace ochrespring::wire
