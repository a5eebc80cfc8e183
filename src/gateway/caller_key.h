// Keys that authenticate callers. Only digests are stored and compared, so that neither a memory
// dump nor lookup timing reveals a key.
#pragma once

#include <array>
#include <cstddef>
#include <cstring>
#include <functional>
#include <optional>
#include <string_view>

namespace ochrespring::gateway {

/// SHA-256 digest of a key.
struct KeyDigest {
  std::array<unsigned char, 32> bytes{};

  bool operator==(const KeyDigest&) const = default;
};

KeyDigest digest_key(std::string_view key);

/// Extracts the key from the value of an `Authorization` header with the scheme `Token` (RFC 9110,
/// section 11.4). Returns none if the header is absent, empty or has another scheme.
std::optional<std::string_view> parse_caller_key(std::string_view authorization);

}  // namespace ochrespring::gateway

template <>
struct std::hash<ochrespring::gateway::KeyDigest> {
  std::size_t operator()(const ochrespring::gateway::KeyDigest& digest) const noexcept {
    std::size_t head = 0;
    std::memcpy(&head, digest.bytes.data(), sizeof(head));
    return head;
  }
};
