#include "gateway/caller_key.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cctype>

namespace ochrespring::gateway {

namespace {

constexpr std::string_view kScheme = "token";

bool is_scheme(std::string_view word) {
  return std::equal(word.begin(), word.end(), kScheme.begin(), kScheme.end(),
                    [](unsigned char left, char right) { return std::tolower(left) == right; });
}

}  // namespace

KeyDigest digest_key(std::string_view key) {
  KeyDigest digest;
  static_assert(sizeof(digest.bytes) == SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes.data());
  return digest;
}

std::optional<std::string_view> parse_caller_key(std::string_view authorization) {
  const std::size_t scheme_end = authorization.find(' ');
  if (scheme_end == std::string_view::npos || !is_scheme(authorization.substr(0, scheme_end))) {
    return std::nullopt;
  }
  std::string_view key = authorization.substr(scheme_end);
  key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
  key = key.substr(0, key.find_last_not_of(' ') + 1);
  return key.empty() ? std::nullopt : std::optional(key);
}

}  // namespace ochrespring::gateway
