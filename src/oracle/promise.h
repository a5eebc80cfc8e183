// The promises the oracle checks.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace ochrespring::oracle {

enum class Promise : std::uint8_t {
  kNoConflictingOrders,
  kNoCutByPlannedChange,
  kStaleOrdersHaveNoEffect,
  kWholeAnswer,
  kTrueRefusal,
  kAtMostOnce,
  kLeavingBackendIdle,
  kNoCutByPlannedStop,
  kConfigurationInForce,
};

inline constexpr std::array<Promise, 9> kAllPromises = {
    Promise::kNoConflictingOrders,
    Promise::kNoCutByPlannedChange,
    Promise::kStaleOrdersHaveNoEffect,
    Promise::kWholeAnswer,
    Promise::kTrueRefusal,
    Promise::kAtMostOnce,
    Promise::kLeavingBackendIdle,
    Promise::kNoCutByPlannedStop,
    Promise::kConfigurationInForce,
};

/// Name of a promise in reports and on the command line.
std::string_view promise_name(Promise promise);

/// A promise that did not hold.
struct Violation {
  Promise promise = Promise::kWholeAnswer;
  MonotonicTime at;  ///< True time.
  std::string detail;
};

}  // namespace ochrespring::oracle
