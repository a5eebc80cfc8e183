// Parses the rate limit that a back end sends in a response.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"

namespace ochrespring::gateway {

/// Requests per second, in thousandths.
struct RequestRate {
  std::uint64_t thousandths = 0;

  double per_second() const { return static_cast<double>(thousandths) / 1000; }
  auto operator<=>(const RequestRate&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& thousandths;
  }
};

/// Parses a decimal number: digits, optionally followed by a point and more digits. Returns none
/// for anything else, and for more than nine digits on either side of the point. Drops digits after
/// the third decimal place, so that the result is never above the stated rate.
std::optional<RequestRate> parse_rate(std::string_view text);

/// What the headers of a response say about the back end's rate limit.
struct RateStatement {
  enum class Kind : std::uint8_t {
    kNone,       ///< The response has no such header.
    kLimited,    ///< The limit is `rate`.
    kMalformed,  ///< The value is malformed: neither sets nor removes a limit.
  };
  Kind kind = Kind::kNone;
  RequestRate rate;
  /// The last malformed value, if any; may be set although another header is valid (`kLimited`).
  std::string text;
};

/// Of several valid headers with this name the lowest rate applies.
RateStatement parse_rate_limit(const std::vector<http::Header>& headers, std::string_view name);

}  // namespace ochrespring::gateway
