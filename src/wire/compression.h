// Compression of documents for the key-value service and for the wire (zlib).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "config/errc.h"

namespace ochrespring::config {

/// Largest document accepted after decompression, in bytes.
inline constexpr std::size_t kLargestDocumentBytes = 64U << 20U;

/// Compressed bytes.
std::string compress(std::string_view bytes);
/// Original bytes; kMalformed if damaged or above kLargestDocumentBytes.
Result<std::string, ConfigError> decompress(std::string_view bytes);

}  // namespace ochrespring::config
