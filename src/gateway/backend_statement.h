// Parses what the head of a response says about the back end and the request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "gateway/header_names.h"
#include "gateway/load_table.h"
#include "gateway/rate_limit_header.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// A back end's request for a backoff period, in which this node sends it nothing.
struct BackoffStatement {
  enum class Kind : std::uint8_t {
    kNone,
    kRequested,  ///< A backoff of `span` is requested.
    kMalformed,  ///< The header is malformed: no backoff applies.
  };
  Kind kind = Kind::kNone;
  Duration span{};
  std::string text;  ///< The malformed value, truncated.
};

/// What a response head says about the back end and the request; other headers are not included.
struct BackendStatement {
  std::optional<ReportedLoad> load;
  RateStatement rate_limit;
  BackoffStatement backoff;
  bool leaving = false;            ///< The back end will terminate soon and takes no new requests.
  bool leaving_malformed = false;  ///< The header has another value, which is ignored.
  bool not_run = false;            ///< The request did not run at the back end and will not.
  bool misdirected = false;  ///< Another back end answers at the address; no other header of the
                             ///< response is evaluated.
  bool is_signed = false;  ///< The response has the signature header. The back end ran the request,
                           ///< with or without success, unless `not_run` is set.
};

/// Parses a decimal number of seconds, rounded up to a whole nanosecond. Returns none for anything
/// else, including dates, and for more than nine digits before the point (some 30 years).
std::optional<Duration> parse_seconds(std::string_view text);

BackendStatement parse_statement(const http::ResponseHead& head, const HeaderNames& names);

}  // namespace ochrespring::gateway
