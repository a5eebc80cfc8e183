// What nodes tell each other of back ends that ask for less.
#pragma once

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::admission {

/// What a back end has said to the node that tells it.
struct BackendNotice {
  gateway::BackendId backend;
  bool leaving = false;  ///< It ends soon: true for all nodes, and for good.
  /// It wants nothing for so long from the node that tells it, and perhaps as little from others;
  /// zero: it has not asked.
  Duration backoff{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& backend;
    archive& leaving;
    archive& backoff;
  }
};

}  // namespace ochrespring::admission
