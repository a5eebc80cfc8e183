// Common include of h2o's C headers. Private to src/http.
#pragma once

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>

#include <string_view>

namespace ochrespring::http {

/// First h2o request version that denotes HTTP/2, where requests share a connection as streams.
inline constexpr int kHttp2Version = 0x200;

/// Views an h2o buffer without copying.
inline std::string_view to_view(const h2o_iovec_t& bytes) {
  return {bytes.base, bytes.len};
}

/// Views bytes as an h2o buffer; the bytes must outlive the result.
inline h2o_iovec_t to_iovec(std::string_view bytes) {
  return h2o_iovec_init(bytes.data(), bytes.size());
}

}  // namespace ochrespring::http
