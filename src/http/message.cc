#include "http/message.h"

#include <charconv>

namespace ochrespring::http {

std::string_view find_header(const std::vector<Header>& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

std::optional<std::uint64_t> parse_number(std::string_view value) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  return error == std::errc() ? std::optional(number) : std::nullopt;
}

}  // namespace ochrespring::http
