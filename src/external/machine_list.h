// The platform's list of machines; it lags behind the truth.
#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "external/errc.h"

namespace ochrespring::external {

enum class MachineState : std::uint8_t { kLive, kLeaving };

struct Machine {
  std::string name;  ///< Node or server name.
  MachineState state = MachineState::kLive;
  ZoneName zone;
  RegionName region;
  Endpoint peer_endpoint;  ///< Of the node on it; empty for servers.
};

/// Asynchronous client of the list; one per event loop.
class MachineList {
 public:
  virtual ~MachineList() = default;
  /// All machines the platform knows of.
  virtual void list(ExternalCallback<std::vector<Machine>> done) = 0;
};

}  // namespace ochrespring::external
