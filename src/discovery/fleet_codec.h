// Keys and encoding of the fleet's entries in the store.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "gateway/types.h"

namespace ochrespring::discovery {

enum class CodecErrc {
  kMalformed,  ///< Not in the expected format.
  kInvalid,    ///< Well-formed, but a value is empty, out of range or unknown.
};

using CodecError = LayerError<CodecErrc>;

/// Keys and key prefixes in the store.
struct StoreLayout {
  std::string configuration_key;
  std::string backend_prefix;
  std::string node_prefix;
  std::string duty_prefix{};           ///< Holders of the duties and the state of their work.
  std::string quarantine_prefix{};     ///< Requests during which servers have crashed.
  std::string software_history_key{};  ///< Software that has begun streams.
};

/// Defines the store's keys and parses its entries. Stateless.
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
