#include "fleet/text_values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace ochrespring::fleet {

namespace {

struct DurationUnit {
  std::string_view suffix;
  std::int64_t nanoseconds;
};

/// Smallest first; a suffix that ends with another one comes before it when parsing.
constexpr std::array kDurationUnits = {
    DurationUnit{"ns", 1},
    DurationUnit{"us", 1'000},
    DurationUnit{"ms", 1'000'000},
    DurationUnit{"s", 1'000'000'000},
    DurationUnit{"m", 60'000'000'000},
    DurationUnit{"h", 3'600'000'000'000},
};

struct SizeUnit {
  std::string_view suffix;
  unsigned shift;
};

constexpr std::array kSizeUnits = {
    SizeUnit{"KiB", 10},
    SizeUnit{"MiB", 20},
    SizeUnit{"GiB", 30},
    SizeUnit{"TiB", 40},
};

constexpr std::uint32_t kHighestPort = 65535;

template <class T>
std::optional<T> parse_number(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || stopped != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<Duration> scale(double count, std::int64_t unit) {
  const double nanoseconds = count * static_cast<double>(unit);
  constexpr auto kLimit = static_cast<double>(std::numeric_limits<std::int64_t>::max());
  if (!std::isfinite(nanoseconds) || nanoseconds >= kLimit || nanoseconds <= -kLimit) {
    return std::nullopt;
  }
  return Duration(std::llround(nanoseconds));
}

std::optional<Duration> scale(std::int64_t count, std::int64_t unit) {
  std::int64_t nanoseconds = 0;
  if (__builtin_mul_overflow(count, unit, &nanoseconds)) {
    return std::nullopt;
  }
  return Duration(nanoseconds);
}

bool is_name_character(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_valid_address(std::string_view host, int family) {
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(family, std::string(host).c_str(), address.data()) == 1;
}

}  // namespace

std::optional<Duration> parse_duration(std::string_view text) {
  for (const DurationUnit& unit : kDurationUnits) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    const std::string_view digits = text.substr(0, text.size() - unit.suffix.size());
    if (const auto whole = parse_number<std::int64_t>(digits)) {
      return scale(*whole, unit.nanoseconds);
    }
    const auto count = parse_number<double>(digits);
    return count ? scale(*count, unit.nanoseconds) : std::nullopt;
  }
  return std::nullopt;
}

std::string format_duration(Duration span) {
  const std::int64_t count = span.count();
  if (count == 0) {
    return "0s";
  }
  const auto unit = std::find_if(
      kDurationUnits.rbegin(), kDurationUnits.rend(),
      [count](const DurationUnit& candidate) { return count % candidate.nanoseconds == 0; });
  return std::to_string(count / unit->nanoseconds) + std::string(unit->suffix);
}

std::optional<std::uint64_t> parse_bytes(std::string_view text) {
  for (const SizeUnit& unit : kSizeUnits) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    const auto count =
        parse_number<std::uint64_t>(text.substr(0, text.size() - unit.suffix.size()));
    if (!count || *count > (std::numeric_limits<std::uint64_t>::max() >> unit.shift)) {
      return std::nullopt;
    }
    return *count << unit.shift;
  }
  return parse_number<std::uint64_t>(text);
}

std::string format_bytes(std::uint64_t bytes) {
  const auto unit =
      std::find_if(kSizeUnits.rbegin(), kSizeUnits.rend(), [bytes](const SizeUnit& candidate) {
        return bytes != 0 && bytes % (std::uint64_t{1} << candidate.shift) == 0;
      });
  if (unit == kSizeUnits.rend()) {
    return std::to_string(bytes);
  }
  return std::to_string(bytes >> unit->shift) + std::string(unit->suffix);
}

std::string format_real(double value) {
  std::array<char, 64> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

bool is_valid_name(std::string_view name) {
  if (name.empty() || name.size() > kLongestName || !is_name_character(name.front())) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](char c) {
    return is_name_character(c) || c == '.' || c == '_' || c == '-';
  });
}

bool is_valid_endpoint(std::string_view endpoint) {
  const std::size_t colon = endpoint.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto port = parse_number<std::uint32_t>(endpoint.substr(colon + 1));
  if (!port || *port == 0 || *port > kHighestPort) {
    return false;
  }
  const std::string_view host = endpoint.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return is_valid_address(host.substr(1, host.size() - 2), AF_INET6);
  }
  return is_valid_address(host, AF_INET);
}

}  // namespace ochrespring::fleet
