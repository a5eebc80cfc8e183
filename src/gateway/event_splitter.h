// Splits a stream of server-sent events into complete events, so that a caller never receives part
// of an event when a stream fails.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ochrespring::gateway {

/// One complete event, including its terminating blank line.
struct StreamEvent {
  std::string bytes;
  std::optional<std::uint64_t> id;  ///< None without an `id` or with one that is not a number.

  bool has_data() const {
    return bytes.starts_with("data") || bytes.find("\ndata") != std::string::npos;
  }
  /// Comments are not part of the answer.
  bool is_comment() const { return !id && !has_data(); }
};

/// Buffers the bytes of one attempt's stream until an event is complete.
class EventSplitter {
 public:
  void append(std::string_view bytes);
  /// Returns the next complete event, or none.
  std::optional<StreamEvent> next();
  /// Bytes of an incomplete event.
  std::string_view rest() const { return std::string_view(pending_).substr(begin_); }

 private:
  std::string pending_;
  std::size_t begin_ = 0;    ///< Of the first event that has not been returned.
  std::size_t scanned_ = 0;  ///< Begin of the first line that has not been found complete.
};

}  // namespace ochrespring::gateway
