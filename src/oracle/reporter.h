// Collects violations and counts what was checked.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "oracle/promise.h"

namespace ochrespring::oracle {

class Reporter {
 public:
  void set_time(MonotonicTime now) { now_ = now; }
  MonotonicTime now() const { return now_; }

  /// A promise was checked once, whatever the verdict; a run that checks nothing proves nothing.
  void checked(Promise promise) { ++checks_[static_cast<std::size_t>(promise)]; }
  void violated(Promise promise, std::string detail) {
    violations_.push_back({promise, now_, std::move(detail)});
  }

  std::uint64_t checks(Promise promise) const { return checks_[static_cast<std::size_t>(promise)]; }
  const std::vector<Violation>& violations() const { return violations_; }

 private:
  MonotonicTime now_;
  std::array<std::uint64_t, kAllPromises.size()> checks_{};
  std::vector<Violation> violations_;
};

}  // namespace ochrespring::oracle
