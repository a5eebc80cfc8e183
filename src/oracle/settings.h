// Bounds the oracle judges by.
#pragma once

#include "base/time.h"

namespace ochrespring::oracle {

struct OracleSettings {
  /// "A leaving back end receives no new work after a few seconds."
  Duration leaving_bound{std::chrono::seconds(10)};
  /// "An accepted configuration is in force everywhere within seconds": the target's 18 s.
  Duration configuration_bound{std::chrono::seconds(18)};
  /// No fault is injected: every request must be answered whole.
  bool expect_every_answer = false;
};

}  // namespace ochrespring::oracle
