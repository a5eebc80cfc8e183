// What a node tells the others of itself in the store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace ochrespring::discovery {

struct NodeRecord {
  NodeId node;
  Endpoint address;  ///< Where callers reach it.
  ZoneName zone;

  bool operator==(const NodeRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& address;
    archive& zone;
  }
};

}  // namespace ochrespring::discovery
