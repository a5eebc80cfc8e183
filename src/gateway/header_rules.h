// Filters the headers that pass between callers and back ends.
#pragma once

#include <string_view>
#include <vector>

#include "gateway/header_names.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Returns a caller's headers as they are sent to a back end: without connection and framing
/// headers, `expect`, and headers that only the gateway may set.
std::vector<http::Header> headers_for_backend(const std::vector<http::Header>& headers,
                                              const HeaderNames& names);

/// Returns a back end's headers as they are sent to the caller: without connection and framing
/// headers.
std::vector<http::Header> headers_for_caller(const std::vector<http::Header>& headers);

}  // namespace ochrespring::gateway
