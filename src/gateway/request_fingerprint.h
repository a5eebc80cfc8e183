// Identifies what may crash back ends: a request, independently of its id, because callers resend a
// failed request with a new id and to any node, and the prompt parts that requests share.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "gateway/prompt.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Value of RequestFingerprint::high that marks prompt parts.
inline constexpr std::uint64_t kPromptPartMark = 0x7061'7274'3a70'726f;

/// 128-bit XXH3 hash of caller, method, host, path, query and body of a request, or a mark and a
/// 64-bit hash of service and id of a prompt part. Keys and bodies cannot be derived from it. It is
/// not collision resistant: a caller can craft two requests of its own that have the same
/// fingerprint, and may name any part.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  /// Whether it identifies a prompt part. A request's has the mark with a probability of 2^-64.
  bool is_prompt_part() const { return high == kPromptPartMark; }
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

/// Fingerprints of the prompt's shared parts, each once, in order; at most kMaxSharedParts. The
/// last part is the request's own and left out. Parts of the same id at different services differ,
/// because their back ends run different software.
std::vector<RequestFingerprint> fingerprints_of_parts(const ServiceName& service,
                                                      const Prompt& prompt);

/// Bounds the memory and the messages that one request can cause. Further parts are ignored.
inline constexpr std::size_t kMaxSharedParts = 64;

/// All that a request has in common with others, for each of which it may crash back ends.
struct RequestIdentity {
  RequestFingerprint fingerprint;           ///< Of the whole request.
  std::vector<RequestFingerprint> parts{};  ///< As returned by fingerprints_of_parts().

  /// Calls `visit` with each of them, the request first.
  template <class Visitor>
  void for_each(const Visitor& visit) const {
    visit(fingerprint);
    for (const RequestFingerprint& part : parts) {
      visit(part);
    }
  }
};

}  // namespace ochrespring::gateway

template <>
struct std::hash<ochrespring::gateway::RequestFingerprint> {
  std::size_t operator()(
      const ochrespring::gateway::RequestFingerprint& fingerprint) const noexcept {
    return fingerprint.low;
  }
};
