// Judges a history by the promises alone. Knows nothing of how the system works: it sees what
// engines ran, what callers were told, and which revision each node says is in force.
#pragma once

#include <cstdint>
#include <vector>

#include "oracle/configuration_checks.h"
#include "oracle/observation.h"
#include "oracle/order_checks.h"
#include "oracle/reporter.h"
#include "oracle/request_checks.h"
#include "oracle/settings.h"

namespace ochrespring::oracle {

/// The whole oracle. Single-threaded; observations must come in the order of true time.
class Oracle final : public ObservationSink {
 public:
  explicit Oracle(const OracleSettings& settings)
      : orders_(reporter_), requests_(settings, reporter_), configuration_(settings, reporter_) {}
  Oracle(const Oracle&) = delete;
  Oracle& operator=(const Oracle&) = delete;

  void observe(MonotonicTime at, const Observation& observation) override;

  const std::vector<Violation>& violations() const { return reporter_.violations(); }
  /// How often a promise was checked.
  std::uint64_t checks(Promise promise) const { return reporter_.checks(promise); }

 private:
  Reporter reporter_;
  OrderChecks orders_;
  RequestChecks requests_;
  ConfigurationChecks configuration_;
};

}  // namespace ochrespring::oracle
