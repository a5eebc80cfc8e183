// Errors of starting a node.
#pragma once

#include <cstdint>

#include "base/result.h"

namespace ochrespring::node {

enum class NodeErrc : std::uint8_t {
  kAddress,      ///< An address cannot be listened on.
  kCertificate,  ///< A certificate, key or authority cannot be used.
};

/// The message names the setting.
using NodeError = LayerError<NodeErrc>;

}  // namespace ochrespring::node
