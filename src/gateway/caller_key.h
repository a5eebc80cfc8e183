// Keys by which callers prove whose requests they send. Only digests of them are kept and compared:
// neither a dump of memory nor the time of a look-up tells a key.
#pragma once

#include <array>
#include <cstddef>
#include <cstring>
#include <functional>
#include <optional>
#include <string_view>

namespace ochrespring::gateway {

/// SHA-256 of a key.
struct KeyDigest {
  std::array<unsigned char, 32> bytes{};

  bool operator==(const KeyDigest&) const = default;
};

KeyDigest digest_key(std::string_view key);

/// The key in the value of an `Authorization` header of the scheme `Token` (RFC 9110, section
/// 11.4); none if the header is absent, empty or of another scheme.
std::optional<std::string_view> read_caller_key(std::string_view authorization);

}  // namespace ochrespring::gateway

template <>
struct std::hash<ochrespring::gateway::KeyDigest> {
  std::size_t operator()(const ochrespring::gateway::KeyDigest& digest) const noexcept {
    std::size_t head = 0;
    std::memcpy(&head, digest.bytes.data(), sizeof(head));
    return head;
  }
};
