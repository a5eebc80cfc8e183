// The retries of one request that are charged to the retry budget.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/retry_budget.h"

namespace ochrespring::gateway {

/// Keeps the charges of one request open while a back end may still receive one of its sends, also
/// one that was given up: servers and networks that stand still deliver it later. Used on one event
/// loop. The referenced objects must outlive it.
class RequestRetries {
 public:
  RequestRetries(RetryBudget& budget, const Clock& clock, ServiceName service)
      : budget_(budget), clock_(clock), service_(std::move(service)) {}

  const ServiceName& service() const { return service_; }
  /// Charges one retry, whose PendingSend must exist by now or be created next. Returns false if
  /// the budget denies it. `nodes` share the budget's slack.
  bool charge(std::uint32_t nodes) {
    const bool granted = budget_.open(service_, nodes, clock_.now());
    charged_ += granted ? 1 : 0;
    return granted;
  }

 private:
  friend class PendingSend;
  void add_pending() { ++pending_; }
  void remove_pending() {
    if (--pending_ == 0) {
      budget_.settle(service_, std::exchange(charged_, 0), clock_.now());
    }
  }

  RetryBudget& budget_;
  const Clock& clock_;
  ServiceName service_;
  std::uint32_t charged_ = 0;  ///< Charges that are open.
  std::uint32_t pending_ = 0;
};

/// A send that its back end may not have received yet, from before it is made until there is
/// evidence that it has arrived or never will. Destroying it states that evidence.
class PendingSend {
 public:
  explicit PendingSend(std::shared_ptr<RequestRetries> retries) : retries_(std::move(retries)) {
    retries_->add_pending();
  }
  ~PendingSend() {
    if (retries_) {
      retries_->remove_pending();
    }
  }
  PendingSend(PendingSend&& other) noexcept = default;
  PendingSend& operator=(PendingSend&& other) noexcept {
    std::swap(retries_, other.retries_);
    return *this;
  }
  PendingSend(const PendingSend&) = delete;
  PendingSend& operator=(const PendingSend&) = delete;

 private:
  std::shared_ptr<RequestRetries> retries_;
};

}  // namespace ochrespring::gateway
