// Values of the fleet document as people write them: durations, sizes, endpoints and names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace ochrespring::fleet {

/// Longest name of a resource, zone or region, in bytes.
inline constexpr std::size_t kLongestName = 128;

/// Duration from a number with a unit (ns, us, ms, s, m, h), such as `1700ms` or `1.5s`; none if it
/// cannot be read or is out of the range of Duration.
std::optional<Duration> parse_duration(std::string_view text);
/// Duration in the largest unit that needs no fraction.
std::string format_duration(Duration span);

/// Bytes from a whole number with an optional unit (KiB, MiB, GiB, TiB), such as `4MiB`.
std::optional<std::uint64_t> parse_bytes(std::string_view text);
/// Bytes in the largest unit that needs no fraction.
std::string format_bytes(std::uint64_t bytes);

/// Shortest decimal text that reads back as the same number.
std::string format_real(double value);

/// Whether a text may name a resource: letters, digits, `.`, `_` and `-`, beginning with a letter
/// or digit, at most kLongestName bytes.
bool is_valid_name(std::string_view name);

/// Whether a text is a numeric IP address and a port from 1 to 65535, as `127.0.0.1:8080` or
/// `[::1]:8080`.
bool is_valid_endpoint(std::string_view endpoint);

}  // namespace ochrespring::fleet
