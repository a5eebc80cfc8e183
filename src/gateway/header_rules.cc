#include "gateway/header_rules.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace ochrespring::gateway {

namespace {

/// Connection headers (RFC 9110, section 7.6.1) and headers of HTTP/1.1 framing.
constexpr std::array<std::string_view, 10> kConnectionAndFramingHeaders{"connection",
                                                                        "keep-alive",
                                                                        "proxy-connection",
                                                                        "proxy-authenticate",
                                                                        "proxy-authorization",
                                                                        "te",
                                                                        "trailer",
                                                                        "transfer-encoding",
                                                                        "upgrade",
                                                                        "content-length"};

bool is_connection_or_framing_header(std::string_view name) {
  return std::find(kConnectionAndFramingHeaders.begin(), kConnectionAndFramingHeaders.end(),
                   name) != kConnectionAndFramingHeaders.end();
}

/// Whether the comma-separated `list` contains `name`, ignoring case.
bool list_contains(std::string_view list, std::string_view name) {
  const auto same = [](unsigned char left, unsigned char right) {
    return std::tolower(left) == std::tolower(right);
  };
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    std::string_view token = list.substr(0, comma);
    list.remove_prefix(std::min(comma + 1, list.size()));
    token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
    token = token.substr(0, token.find_last_not_of(" \t") + 1);
    if (std::equal(token.begin(), token.end(), name.begin(), name.end(), same)) {
      return true;
    }
  }
  return false;
}

bool named_by_connection(const std::vector<http::Header>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const http::Header& header) {
    return header.name == "connection" && list_contains(header.value, name);
  });
}

}  // namespace

std::vector<http::Header> headers_for_backend(const std::vector<http::Header>& headers,
                                              const HeaderNames& names) {
  std::vector<http::Header> passed;
  passed.reserve(headers.size());
  for (const http::Header& header : headers) {
    const bool reserved = std::find(names.reserved.begin(), names.reserved.end(), header.name) !=
                          names.reserved.end();
    if (!reserved && header.name != "expect" && !is_connection_or_framing_header(header.name) &&
        !named_by_connection(headers, header.name)) {
      passed.push_back(header);
    }
  }
  return passed;
}

std::vector<http::Header> headers_for_caller(const std::vector<http::Header>& headers) {
  std::vector<http::Header> passed;
  passed.reserve(headers.size());
  for (const http::Header& header : headers) {
    if (!is_connection_or_framing_header(header.name) &&
        !named_by_connection(headers, header.name)) {
      passed.push_back(header);
    }
  }
  return passed;
}

}  // namespace ochrespring::gateway
