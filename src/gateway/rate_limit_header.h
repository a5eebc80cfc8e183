// What a back end says in an answer of the rate that it takes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"

namespace ochrespring::gateway {

/// Requests a second, in thousandths.
struct RequestRate {
  std::uint64_t thousandths = 0;

  double per_second() const { return static_cast<double>(thousandths) / 1000; }
  auto operator<=>(const RequestRate&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& thousandths;
  }
};

/// Reads a decimal number: digits, and perhaps a point and more digits. Anything else, and what is
/// longer than nine digits on either side of the point, is none. Digits after the third behind the
/// point are dropped, so that the rate read is never above the one named.
std::optional<RequestRate> parse_rate(std::string_view text);

/// What the headers of an answer say of its back end's rate limit.
struct RateStatement {
  enum class Kind : std::uint8_t {
    kNone,        ///< There is no limit.
    kLimited,     ///< The limit is `rate`.
    kUnreadable,  ///< There may be a limit, but no telling which: tells neither of one nor of its
                  ///< end.
  };
  Kind kind = Kind::kNone;
  RequestRate rate;
  std::string text;  ///< What could not be read.
};

/// Where several headers of the name can be read, the lowest rate counts.
RateStatement read_rate_limit(const std::vector<http::Header>& headers, std::string_view name);

}  // namespace ochrespring::gateway
