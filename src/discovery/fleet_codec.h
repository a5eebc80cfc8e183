// Where the store keeps what concerns the fleet, and how it is written there.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "gateway/types.h"

namespace ochrespring::discovery {

enum class CodecErrc {
  kMalformed,  ///< Not in the form expected.
  kInvalid,    ///< A value that cannot be used.
};

using CodecError = LayerError<CodecErrc>;

/// Keys of the store.
struct StoreLayout {
  std::string configuration_key;
  std::string backend_prefix;
  std::string node_prefix;
  std::string duty_prefix{};        ///< Who holds the duties, and what they have done.
  std::string quarantine_prefix{};  ///< Requests under which servers have ended.
};

/// Pure.
class FleetCodec {
 public:
  virtual ~FleetCodec() = default;
  virtual const StoreLayout& layout() const = 0;
  virtual Result<gateway::Configuration, CodecError> read_configuration(
      std::string_view value) const = 0;
  /// `id` is the key without the layout's prefix.
  virtual Result<gateway::Backend, CodecError> read_backend(std::string_view id,
                                                            std::string_view value) const = 0;
};

}  // namespace ochrespring::discovery
