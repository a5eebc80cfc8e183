// HTTP message types.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "http/body.h"

namespace ochrespring::http {

struct Header {
  std::string name;  ///< Lower case.
  std::string value;
};

/// Returns the first value of the header with this lower-case name, or an empty string.
std::string_view find_header(const std::vector<Header>& headers, std::string_view name);

/// Parses the leading number of a header value; empty if there is none.
std::optional<std::uint64_t> parse_number(std::string_view value);

/// A complete request.
struct Request {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Without the question mark.
  std::vector<Header> headers;
  Body body;
  /// How long its last bytes had waited in the kernel when it was read: a lower bound, zero if it
  /// is unknown.
  Duration read_delay{};
  std::string protocol{};  ///< Of the caller, for example "HTTP/1.1".
};

struct ResponseHead {
  std::uint16_t status = 0;
  std::vector<Header> headers;
  /// The body has neither a length nor chunks, so only the close of the connection ends it. Set by
  /// the client.
  bool ends_with_connection = false;
};

/// A complete response.
struct Response {
  ResponseHead head;
  std::string body;
};

}  // namespace ochrespring::http
