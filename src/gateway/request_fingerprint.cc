#include "gateway/request_fingerprint.h"

#include <array>
#include <cstdio>

#include "base/hash.h"

namespace ochrespring::gateway {

std::string RequestFingerprint::to_hex() const {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text.data();
}

RequestFingerprint fingerprint_of(const http::Request& request, std::string_view caller) {
  const Hash128 hash =
      stable_hash_128({caller, request.method, http::find_header(request.headers, "host"),
                       request.path, request.query, request.body});
  return {hash.high, hash.low};
}

}  // namespace ochrespring::gateway
