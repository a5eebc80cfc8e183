#include "gateway/rate_limit_header.h"

#include <algorithm>

namespace ochrespring::gateway {

namespace {

constexpr std::size_t kMaxDigits = 9;
constexpr std::size_t kFractionDigits = 3;

bool are_digits(std::string_view text) {
  return !text.empty() && text.size() <= kMaxDigits &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

std::optional<RequestRate> parse_rate(std::string_view text) {
  const std::size_t point = std::min(text.find('.'), text.size());
  const std::string_view whole = text.substr(0, point);
  const std::string_view fraction = text.substr(std::min(point + 1, text.size()));
  const bool has_point = point != text.size();
  if (!are_digits(whole) || (has_point && !are_digits(fraction))) {
    return std::nullopt;
  }
  std::string digits(whole);
  digits.append(fraction.substr(0, kFractionDigits));
  digits.append(kFractionDigits - std::min(kFractionDigits, fraction.size()), '0');
  return RequestRate{http::parse_number(digits).value_or(0)};
}

RateStatement parse_rate_limit(const std::vector<http::Header>& headers, std::string_view name) {
  RateStatement statement;
  for (const http::Header& header : headers) {
    if (header.name != name) {
      continue;
    }
    const auto rate = parse_rate(header.value);
    if (!rate) {
      statement.text = header.value;
      if (statement.kind == RateStatement::Kind::kNone) {
        statement.kind = RateStatement::Kind::kMalformed;
      }
    } else if (statement.kind != RateStatement::Kind::kLimited || *rate < statement.rate) {
      statement.kind = RateStatement::Kind::kLimited;
      statement.rate = *rate;
    }
  }
  return statement;
}

}  // namespace ochrespring::gateway
