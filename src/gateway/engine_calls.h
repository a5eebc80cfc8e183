// Calls to model engines besides requests themselves, in the form an engine expects.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
  /// The call that tells which prompt parts an engine keeps; without an address.
  virtual http::ClientRequest list_cached_parts() const = 0;
  /// Ids of the parts in the answer to that call; none if it cannot be understood.
  virtual std::vector<std::string> read_cached_parts(std::string_view body) const = 0;
};

}  // namespace ochrespring::gateway
