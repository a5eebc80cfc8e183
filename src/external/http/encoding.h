// Text encodings of the HTTP protocol: base64 for values, percent-encoding for names in paths.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ochrespring::external {

std::string base64_encode(std::string_view bytes);
/// Bytes of padded base64, or nothing if the text is not that.
std::optional<std::string> base64_decode(std::string_view text);

/// Escapes everything but unreserved characters and slashes.
std::string percent_encode(std::string_view text);
/// Undoes percent_encode(); nothing if an escape is broken.
std::optional<std::string> percent_decode(std::string_view text);

/// Value of a parameter in a query string, decoded; nothing if it is absent or broken.
std::optional<std::string> query_parameter(std::string_view query, std::string_view name);
/// Value of a non-negative decimal parameter; nothing if absent or not a number.
std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name);

}  // namespace ochrespring::external
