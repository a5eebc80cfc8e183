// Cuts a stream of server-sent events into whole events, so that a break never leaves half of one
// with the caller.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ochrespring::gateway {

/// One whole event with its blank line.
struct StreamEvent {
  std::string bytes;
  std::optional<std::uint64_t> id;  ///< None if it has no `id` or one that is no number.
};

/// Pure; one per attempt.
class EventSplitter {
 public:
  void append(std::string_view bytes) { pending_.append(bytes); }
  /// The next whole event, or none.
  std::optional<StreamEvent> next();
  /// Bytes of an event that has not ended.
  const std::string& rest() const { return pending_; }

 private:
  std::string pending_;
};

}  // namespace ochrespring::gateway
