// The attempts of one request that are open besides the one that its session acts on.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "gateway/attempt.h"

namespace ochrespring::gateway {

/// A silent back end may still be working, so its attempt stays open while other back ends are
/// tried. The first attempt that brings what the caller lacks ends the others. Used on one event
/// loop.
class OtherAttempts {
 public:
  void add(std::unique_ptr<Attempt> attempt) { attempts_.push_back(std::move(attempt)); }
  /// Removes an attempt, which must be among them.
  std::unique_ptr<Attempt> take(const Attempt& attempt);
  /// The attempt whose back end was heard last; null if there is none.
  Attempt* heard_last() const;
  /// An attempt that is not stalled, so that no other one is needed now; null if there is none.
  Attempt* expected_to_answer() const;
  bool empty() const { return attempts_.empty(); }
  /// Removes all of them.
  std::vector<std::unique_ptr<Attempt>> take_all() { return std::exchange(attempts_, {}); }

  template <class Function>
  void for_each(Function function) const {
    for (const auto& attempt : attempts_) {
      function(*attempt);
    }
  }

 private:
  std::vector<std::unique_ptr<Attempt>> attempts_;
};

}  // namespace ochrespring::gateway
