// h2o's C interface, included in one way everywhere. Private to src/http.
#pragma once

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>

#include <string_view>

namespace ochrespring::http {

/// From this version on a request, as h2o numbers them, is a stream among others on its connection.
inline constexpr int kHttp2Version = 0x200;

/// Views h2o's bytes without copying.
inline std::string_view to_view(const h2o_iovec_t& bytes) {
  return {bytes.base, bytes.len};
}

/// Views our bytes as h2o's; the bytes must outlive the result.
inline h2o_iovec_t to_iovec(std::string_view bytes) {
  return h2o_iovec_init(bytes.data(), bytes.size());
}

}  // namespace ochrespring::http
