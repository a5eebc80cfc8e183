#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ochrespring::gateway {

namespace {

/// Returns the position after the first blank line in `text` from `line` on, or npos. Moves `line`
/// behind the complete lines. Lines end with LF or CR LF.
std::size_t find_event_end(std::string_view text, std::size_t& line) {
  while (true) {
    const std::size_t newline = text.find('\n', line);
    if (newline == std::string_view::npos) {
      return newline;
    }
    const std::string_view content = text.substr(line, newline - line);
    if (content.empty() || content == "\r") {
      return newline + 1;
    }
    line = newline + 1;
  }
}

std::optional<std::uint64_t> read_id(std::string_view event) {
  constexpr std::string_view kField = "id:";
  std::size_t line = 0;
  while (line < event.size()) {
    const std::size_t newline = std::min(event.find('\n', line), event.size());
    std::string_view content = event.substr(line, newline - line);
    line = newline + 1;
    if (!content.starts_with(kField)) {
      continue;
    }
    content.remove_prefix(kField.size());
    content.remove_prefix(std::min(content.find_first_not_of(' '), content.size()));
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(content.data(), content.data() + content.size(), id);
    return error == std::errc() ? std::optional(id) : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::append(std::string_view bytes) {
  pending_.erase(0, begin_);
  scanned_ -= std::exchange(begin_, 0);
  pending_.append(bytes);
}

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t end = find_event_end(pending_, scanned_);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  StreamEvent event;
  event.bytes = pending_.substr(begin_, end - begin_);
  event.id = read_id(event.bytes);
  begin_ = scanned_ = end;
  return event;
}

}  // namespace ochrespring::gateway
