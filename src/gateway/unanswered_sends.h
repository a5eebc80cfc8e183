// Sends that this node gave up although their back ends may still receive them.
#pragma once

#include <chrono>
#include <deque>
#include <map>

#include "base/time.h"
#include "gateway/request_retries.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Holds each send until its back end answers a later one, which shows that it reads what it is
/// sent, or until `kRetention` is over. Used on one event loop.
class UnansweredSends {
 public:
  /// A back end that stands still for longer is assumed to have lost what it was sent: it has
  /// missed several heartbeats by then.
  static constexpr Duration kRetention = std::chrono::seconds(10);

  void add(const BackendId& backend, PendingSend send, MonotonicTime now);
  /// Called when a back end has answered an attempt that was started at `started`.
  void note_answer(const BackendId& backend, MonotonicTime started);
  void drop_expired(MonotonicTime now);

 private:
  struct GivenUp {
    PendingSend send;
    MonotonicTime at{};
  };
  /// In the order in which they were given up.
  using GivenUpSends = std::deque<GivenUp>;

  static void drop_until(GivenUpSends& sends, MonotonicTime end);

  std::map<BackendId, GivenUpSends> sends_;
};

}  // namespace ochrespring::gateway
