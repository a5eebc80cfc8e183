// Messages between nodes about back ends that are leaving or have asked to back off.
#pragma once

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::admission {

/// What a back end has announced to the sending node.
struct BackendNotice {
  gateway::BackendId backend;
  bool leaving = false;  ///< It shuts down soon; final, and valid for all nodes.
  /// Remaining backoff period that it asked the sending node for; zero if none. It may not have
  /// room for requests of other nodes either.
  Duration backoff{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& backend;
    archive& leaving;
    archive& backoff;
  }
};

}  // namespace ochrespring::admission
