// The calls under way on one server, so that all can be ended when it is destroyed, whatever the
// control loop does by then.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace ochrespring::operator_api {

/// A call that can be ended from any thread.
class AbandonableCall {
 public:
  virtual ~AbandonableCall() = default;
  /// Ends the call with UNAVAILABLE if it has not ended.
  virtual void abandon() = 0;
};

/// Thread-safe set of calls.
class CallRegistry {
 public:
  /// Adds a call, or abandons it at once if the registry is closed.
  void add(const std::shared_ptr<AbandonableCall>& call) {
    {
      const std::lock_guard lock(mutex_);
      if (!is_closed_) {
        calls_.emplace(call.get(), call);
        return;
      }
    }
    call->abandon();
  }
  void remove(AbandonableCall& call) {
    const std::lock_guard lock(mutex_);
    calls_.erase(&call);
  }
  /// Abandons all calls, and every later one.
  void close() {
    std::vector<std::shared_ptr<AbandonableCall>> calls;
    {
      const std::lock_guard lock(mutex_);
      is_closed_ = true;
      for (const auto& [address, call] : calls_) {
        calls.push_back(call.lock());
      }
    }
    // Outside the lock, since an ended call may remove itself at once.
    for (const auto& call : calls) {
      if (call) {
        call->abandon();
      }
    }
  }

 private:
  std::mutex mutex_;
  bool is_closed_ = false;
  std::map<AbandonableCall*, std::weak_ptr<AbandonableCall>> calls_;
};

}  // namespace ochrespring::operator_api
