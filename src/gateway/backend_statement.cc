#include "gateway/backend_statement.h"

#include <algorithm>
#include <chrono>

namespace ochrespring::gateway {

namespace {

constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::size_t kMaxWholeDigits = 9;
constexpr std::size_t kFractionDigits = 9;
constexpr std::size_t kMaxLoggedTextBytes = 64;
constexpr std::string_view kTrue = "1";

bool are_digits(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Of several valid headers the longest time applies, so that nothing is sent before all of them
/// have passed.
BackoffStatement read_backoff(const std::vector<http::Header>& headers, std::string_view name) {
  BackoffStatement backoff;
  for (const http::Header& header : headers) {
    if (header.name != name) {
      continue;
    }
    if (const auto span = parse_seconds(header.value)) {
      backoff.kind = BackoffStatement::Kind::kRequested;
      backoff.span = std::max(backoff.span, *span);
    } else if (backoff.kind == BackoffStatement::Kind::kNone) {
      backoff.kind = BackoffStatement::Kind::kMalformed;
      backoff.text = header.value.substr(0, kMaxLoggedTextBytes);
    }
  }
  return backoff;
}

void read_leaving(const std::vector<http::Header>& headers, std::string_view name,
                  BackendStatement& statement) {
  for (const http::Header& header : headers) {
    if (header.name == name) {
      statement.leaving = statement.leaving || header.value == kTrue;
      statement.leaving_malformed = statement.leaving_malformed || header.value != kTrue;
    }
  }
}

}  // namespace

std::optional<Duration> parse_seconds(std::string_view text) {
  const std::size_t point = std::min(text.find('.'), text.size());
  const std::string_view whole = text.substr(0, point);
  const std::string_view fraction = text.substr(std::min(point + 1, text.size()));
  const bool has_point = point != text.size();
  if (!are_digits(whole) || whole.size() > kMaxWholeDigits ||
      (has_point && !are_digits(fraction))) {
    return std::nullopt;
  }
  std::string digits(fraction.substr(0, kFractionDigits));
  digits.append(kFractionDigits - digits.size(), '0');
  const std::string_view beyond = fraction.substr(std::min(kFractionDigits, fraction.size()));
  const bool rounds_up = beyond.find_first_not_of('0') != std::string_view::npos;
  return std::chrono::seconds(http::parse_number(whole).value_or(0)) +
         std::chrono::nanoseconds(http::parse_number(digits).value_or(0) + (rounds_up ? 1 : 0));
}

/// A signed 503 comes from the application and is about one request; it requests no backoff, unless
/// it states that the request did not run.
BackendStatement parse_statement(const http::ResponseHead& head, const HeaderNames& names) {
  BackendStatement statement;
  statement.misdirected = head.status == kMisdirected;
  if (statement.misdirected) {
    statement.not_run = true;
    return statement;
  }
  statement.load = parse_load(http::find_header(head.headers, names.load));
  statement.rate_limit = parse_rate_limit(head.headers, names.rate_limit);
  statement.not_run = !http::find_header(head.headers, names.not_run).empty();
  statement.is_signed = !http::find_header(head.headers, names.signature).empty();
  if (head.status == kUnavailable && (statement.not_run || !statement.is_signed)) {
    statement.backoff = read_backoff(head.headers, names.retry_after);
  }
  read_leaving(head.headers, names.leaving, statement);
  return statement;
}

}  // namespace ochrespring::gateway
