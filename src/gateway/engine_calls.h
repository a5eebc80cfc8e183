// Auxiliary calls to model engines, in the engines' protocol.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/client.h"

namespace ochrespring::gateway {

/// Builds and parses auxiliary calls to engines. Implementations have no side effects.
class EngineCalls {
 public:
  virtual ~EngineCalls() = default;
  /// Parses the handle of the KV cache that a prefill has created; none if there is none.
  virtual std::optional<std::string> parse_cache_handle(std::string_view body) const = 0;
  /// Returns the call that releases an unused cache handle; the caller sets the address.
  virtual http::ClientRequest release_cache(const std::string& handle) const = 0;
  /// Returns the call that lists the prompt parts in an engine's cache; the caller sets the
  /// address.
  virtual http::ClientRequest list_cached_parts() const = 0;
  /// Parses the part ids from the response to list_cached_parts(); empty if it is malformed.
  virtual std::vector<std::string> parse_cached_parts(std::string_view body) const = 0;
  /// Returns the call that lists the runs of an engine; the caller sets the address.
  virtual http::ClientRequest list_runs() const = 0;
  /// Parses the request ids from the response to list_runs(); none if it does not list the runs.
  virtual std::optional<std::vector<std::string>> parse_runs(std::string_view body) const = 0;
};

}  // namespace ochrespring::gateway
