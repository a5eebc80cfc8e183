// Errors of the transport between nodes.
#pragma once

#include "base/result.h"

namespace ochrespring::peer {

enum class PeerErrc {
  kAddressInvalid,
  kAddressInUse,
  kTlsInvalid,  ///< The identity cannot be used.
};

using PeerError = LayerError<PeerErrc>;

}  // namespace ochrespring::peer
