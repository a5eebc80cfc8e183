// What a back end says of itself, and of the request, in the head of its answer.
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

/// Whether a back end asks this node to send it nothing for a while.
struct BackoffStatement {
  enum class Kind : std::uint8_t {
    kNone,
    kAsked,       ///< For `span`.
    kUnreadable,  ///< A time was named, but no telling which: nothing is asked.
  };
  Kind kind = Kind::kNone;
  Duration span{};
  std::string text;  ///< What could not be read, cut short.
};

/// The whole head of one answer.
struct BackendStatement {
  std::optional<ReportedLoad> load;
  RateStatement rate_limit;
  BackoffStatement backoff;
  bool leaving = false;             ///< The back end ends soon and takes nothing new.
  bool leaving_unreadable = false;  ///< Something else was said of leaving: it counts for nothing.
  bool not_run = false;             ///< The request has not run here and will not.
  bool misdirected = false;         ///< Another back end has the address: all else is of that one.
  bool is_signed = false;           ///< The back end ran the request, or failed in it.
};

/// Reads seconds, a decimal number, rounded up to a whole nanosecond. Anything else, a date too, is
/// none, and so are more than nine digits before the point: some 30 years.
std::optional<Duration> parse_seconds(std::string_view text);

BackendStatement read_statement(const http::ResponseHead& head, const HeaderNames& names);

}  // namespace ochrespring::gateway
