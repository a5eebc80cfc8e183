// Which headers pass between callers and back ends.
#pragma once

#include <string_view>
#include <vector>

#include "gateway/header_names.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// A caller's headers as a back end gets them: without those of the connection, those that HTTP
/// framing makes anew, and those that only the gateway sets.
std::vector<http::Header> headers_for_backend(const std::vector<http::Header>& headers,
                                              const HeaderNames& names);

/// A back end's headers as the caller gets them.
std::vector<http::Header> headers_for_caller(const std::vector<http::Header>& headers);

}  // namespace ochrespring::gateway
