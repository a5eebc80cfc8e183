#include "settings/setting_checks.h"

#include <algorithm>
#include <charconv>
#include <fstream>

#include "base/socket_address.h"
#include "logging/glog_logger.h"

namespace ochrespring::settings {

namespace {

constexpr std::size_t kMaxNameLength = 63;

bool is_letter_or_digit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool is_name_character(char character) {
  return is_letter_or_digit(character) || character == '-' || character == '.';
}

bool ends_with_port_zero(const std::string& text) {
  return std::stoul(text.substr(text.rfind(':') + 1)) == 0;
}

}  // namespace

std::string NumberRange::describe() const {
  return "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
}

bool read_name(const std::string& text, std::string& value) {
  if (text.empty() || text.size() > kMaxNameLength || !is_letter_or_digit(text.front()) ||
      !std::all_of(text.begin(), text.end(), is_name_character)) {
    return false;
  }
  value = text;
  return true;
}

bool read_number(const std::string& text, const NumberRange& range, std::uint64_t& value) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stopped != end || number < range.min || number > range.max) {
    return false;
  }
  value = number;
  return true;
}

bool read_listen_endpoint(const std::string& text, Endpoint& value) {
  if (!parse_endpoint(Endpoint(text))) {
    return false;
  }
  value = Endpoint(text);
  return true;
}

bool read_remote_endpoint(const std::string& text, Endpoint& value) {
  return parse_endpoint(Endpoint(text)) && !ends_with_port_zero(text) &&
         read_listen_endpoint(text, value);
}

bool read_level(const std::string& text, logging::Level& value) {
  return logging::parse_level(text, value);
}

bool read_file_name(const std::string& text, std::string& value) {
  if (!std::ifstream(text).good()) {
    return false;
  }
  value = text;
  return true;
}

}  // namespace ochrespring::settings
