#include "gateway/request_fingerprint.h"

#include <algorithm>
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

std::vector<RequestFingerprint> fingerprints_of_parts(const ServiceName& service,
                                                      const Prompt& prompt) {
  std::vector<RequestFingerprint> fingerprints;
  for (std::size_t i = 0; i + 1 < prompt.parts.size() && fingerprints.size() < kMaxSharedParts;
       ++i) {
    const RequestFingerprint part{kPromptPartMark,
                                  stable_hash_128({service.value(), prompt.parts[i].id}).low};
    if (std::find(fingerprints.begin(), fingerprints.end(), part) == fingerprints.end()) {
      fingerprints.push_back(part);
    }
  }
  return fingerprints;
}

}  // namespace ochrespring::gateway
