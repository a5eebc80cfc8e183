#include "discovery/configuration_waiters.h"

#include <utility>

namespace ochrespring::discovery {

void ConfigurationWaiters::add(Done done) {
  callbacks_.push_back(std::move(done));
  if (!timer_.armed()) {
    arm_timer();
  }
}

void ConfigurationWaiters::complete(bool current) {
  timer_.disarm();
  for (const Done& done : std::exchange(callbacks_, {})) {
    done(current);
  }
}

void ConfigurationWaiters::arm_timer() {
  const MonotonicTime deadline = clock_.now() + timeout_;
  timer_.arm(timeout_, [this, deadline] {
    if (clock_.now() - deadline > timeout_) {
      // This node was suspended itself: an answer may already be waiting and is processed first.
      arm_timer();
    } else {
      on_timeout_();
      complete(false);
    }
  });
}

}  // namespace ochrespring::discovery
