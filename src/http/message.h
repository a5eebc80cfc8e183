// HTTP messages as the project's code sees them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace ochrespring::http {

struct Header {
  std::string name;  ///< Lower case.
  std::string value;
};

/// First value of a header by lower-case name, or empty.
std::string_view find_header(const std::vector<Header>& headers, std::string_view name);

/// The number that a header's value begins with; none: it begins with no number.
std::optional<std::uint64_t> parse_number(std::string_view value);

/// A whole request.
struct Request {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Without the question mark.
  std::vector<Header> headers;
  std::string body;
};

struct ResponseHead {
  std::uint16_t status = 0;
  std::vector<Header> headers;
};

/// A whole answer.
struct Response {
  ResponseHead head;
  std::string body;
};

}  // namespace ochrespring::http
