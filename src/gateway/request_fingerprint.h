// Identifies a request independently of its id, because callers resend a failed request with a new
// id and to any node.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace ochrespring::gateway {

/// 128-bit XXH3 hash of caller, method, host, path, query and body. Keys and bodies cannot be
/// derived from it. It is not collision resistant: a caller can craft two requests of its own that
/// have the same fingerprint.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  /// 32 hexadecimal digits, as used in logs and in keys of the shared store.
  std::string to_hex() const;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& high;
    archive& low;
  }
};

/// Pure function. `caller` identifies the sender of the request; empty if callers are not
/// distinguished.
RequestFingerprint fingerprint_of(const http::Request& request, std::string_view caller);

}  // namespace ochrespring::gateway

template <>
struct std::hash<ochrespring::gateway::RequestFingerprint> {
  std::size_t operator()(
      const ochrespring::gateway::RequestFingerprint& fingerprint) const noexcept {
    return fingerprint.low;
  }
};
