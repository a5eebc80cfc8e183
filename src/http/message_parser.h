// Declares the functions of picohttpparser that the client uses. libh2o contains and exports them,
// but the Debian package has no header for them. Private to src/http.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"

namespace ochrespring::http {

/// A parsed response head.
struct ParsedHead {
  ResponseHead head;
  int minor_version = 1;   ///< Minor version of HTTP/1.
  std::size_t length = 0;  ///< Size of the head in bytes.
};

enum class ParseOutcome : std::uint8_t { kComplete, kIncomplete, kMalformed };

/// Parses the response head at the beginning of `bytes`.
ParseOutcome parse_head(std::string_view bytes, ParsedHead& parsed);

/// Result of decoding one buffer of chunked data.
struct ChunkStep {
  ParseOutcome outcome = ParseOutcome::kIncomplete;
  std::size_t decoded = 0;   ///< Decoded body bytes, now at the beginning of the buffer.
  std::size_t trailing = 0;  ///< Bytes after the last chunk, if complete.
};

/// Decodes chunked transfer coding in place.
class ChunkDecoder {
 public:
  ChunkStep decode(char* bytes, std::size_t size);

 private:
  /// Layout of picohttpparser's struct phr_chunked_decoder.
  struct State {
    std::size_t bytes_left_in_chunk = 0;
    char consume_trailer = 1;
    char hex_count = 0;
    char state = 0;
  };

  State state_;
};

}  // namespace ochrespring::http
