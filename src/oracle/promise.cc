#include "oracle/promise.h"

namespace ochrespring::oracle {

std::string_view promise_name(Promise promise) {
  switch (promise) {
    case Promise::kNoConflictingOrders:
      return "no-conflicting-orders";
    case Promise::kNoCutByPlannedChange:
      return "no-cut-by-planned-change";
    case Promise::kStaleOrdersHaveNoEffect:
      return "stale-orders-have-no-effect";
    case Promise::kWholeAnswer:
      return "whole-answer";
    case Promise::kTrueRefusal:
      return "true-refusal";
    case Promise::kAtMostOnce:
      return "at-most-once";
    case Promise::kLeavingBackendIdle:
      return "leaving-backend-idle";
    case Promise::kNoCutByPlannedStop:
      return "no-cut-by-planned-stop";
    case Promise::kConfigurationInForce:
      return "configuration-in-force";
  }
  return "unknown";
}

}  // namespace ochrespring::oracle
