// What makes two requests the same, whatever their ids: callers send a request that failed again,
// with a new id, to any node.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace ochrespring::gateway {

/// XXH3, 128 bits, of caller, method, host, path, query and body. Neither a key nor a body can be
/// read from it; whoever wants two requests to be taken for one can make them so, within one
/// caller.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  /// 32 hexadecimal digits, as in logs and keys of the store.
  std::string to_hex() const;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& high;
    archive& low;
  }
};

/// `caller` names whose request it is; empty where callers are not told apart. Pure.
RequestFingerprint fingerprint_of(const http::Request& request, std::string_view caller);

}  // namespace ochrespring::gateway

template <>
struct std::hash<ochrespring::gateway::RequestFingerprint> {
  std::size_t operator()(const ochrespring::gateway::RequestFingerprint& print) const noexcept {
    return print.low;
  }
};
