#include "discovery/refresh_waiters.h"

#include <utility>

namespace ochrespring::discovery {

void RefreshWaiters::add(Done done) {
  waiting_.push_back(std::move(done));
  if (!timer_.armed()) {
    limit();
  }
}

void RefreshWaiters::answer(bool current) {
  timer_.disarm();
  for (const Done& done : std::exchange(waiting_, {})) {
    done(current);
  }
}

void RefreshWaiters::limit() {
  const MonotonicTime due = clock_.now() + patience_;
  timer_.arm(patience_, [this, due] {
    if (clock_.now() - due > patience_) {
      // This node was held up itself: the answer may have come, and is read first.
      limit();
    } else {
      on_patience_over_();
      answer(false);
    }
  });
}

}  // namespace ochrespring::discovery
