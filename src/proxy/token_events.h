// Reads the stream of server-sent events that an engine answers with. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ochrespring::proxy {

/// One event of an engine's stream.
struct TokenEvent {
  std::string_view text;                ///< The event as it came, with its closing empty line.
  bool done = false;                    ///< The terminal `[DONE]`.
  std::optional<std::uint64_t> offset;  ///< Number of the token, from 0; other events have none.
  std::string_view id;                  ///< The request's id, if the event carries one.
};

enum class ParseVerdict : std::uint8_t { kGood, kMalformed };

/// Cuts bytes into events as they arrive. Keeps at most one incomplete event.
class TokenEventReader {
 public:
  /// Reads the next bytes; calls `on_event` for each whole event until it returns false.
  ParseVerdict read(std::string_view bytes, const std::function<bool(const TokenEvent&)>& on_event);

 private:
  std::string partial_;
};

}  // namespace ochrespring::proxy
