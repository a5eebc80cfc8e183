// The parts of picohttpparser that the client uses. libh2o carries and exports them, but Debian's
// package of it has no header for them. Private to src/http.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"

namespace ochrespring::http {

/// A parsed head of an answer.
struct ParsedHead {
  ResponseHead head;
  int minor_version = 1;   ///< Of HTTP/1.
  std::size_t length = 0;  ///< Bytes of the head.
};

enum class ParseOutcome : std::uint8_t { kComplete, kIncomplete, kMalformed };

/// Reads an answer's head from the beginning of `bytes`.
ParseOutcome parse_head(std::string_view bytes, ParsedHead& parsed);

/// What one step of decoding chunks gave.
struct ChunkStep {
  ParseOutcome outcome = ParseOutcome::kIncomplete;
  std::size_t decoded = 0;   ///< Bytes of the body, now at the buffer's beginning.
  std::size_t trailing = 0;  ///< Bytes behind the last chunk, if complete.
};

/// Decodes the chunked coding in place.
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
