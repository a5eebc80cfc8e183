// Calls to model engines besides requests themselves, in the form an engine expects.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/client.h"

namespace ochrespring::gateway {

/// Pure; implemented by whoever knows the engines' protocol.
class EngineCalls {
 public:
  virtual ~EngineCalls() = default;
  /// Handle of the cache that an engine made by reading a prompt, or none.
  virtual std::optional<std::string> read_cache_handle(std::string_view body) const = 0;
  /// The call that frees a cache handle nobody will take; without an address.
  virtual http::ClientRequest release_cache(const std::string& handle) const = 0;
};

}  // namespace ochrespring::gateway
