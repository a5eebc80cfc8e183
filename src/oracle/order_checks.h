// Checks on the orders engines hold.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "oracle/observation.h"
#include "oracle/reporter.h"

namespace ochrespring::oracle {

/// An engine never holds conflicting orders, and orders of a lost authority have no effect.
class OrderChecks {
 public:
  explicit OrderChecks(Reporter& reporter) : reporter_(reporter) {}

  void on(const OrderTaken& order);
  void on(const OrderEnded& order);
  void on(const EngineRestarted& restart);

 private:
  struct EngineState {
    std::optional<OrderTaken> current;
    std::optional<OrderTaken> latest;  ///< Of the highest fence taken.
  };

  void check_conflict(const EngineState& engine, const OrderTaken& order);
  void check_authority(const EngineState& engine, const OrderTaken& order);

  Reporter& reporter_;
  std::map<EngineId, EngineState> engines_;
  /// For each epoch of a domain, when its first order was seen to leave: the earlier epochs had
  /// lost the authority by then.
  std::map<ZoneName, std::map<Epoch, MonotonicTime>> epoch_began_;
};

}  // namespace ochrespring::oracle
