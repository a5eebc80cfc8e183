// What the servers of a loop share. Private to src/http.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "http/caller_guard.h"
#include "http/eviction_order.h"
#include "http/guarded_connection.h"
#include "http/lingering_close.h"

namespace ochrespring::http {

struct CallerGuard::State {
  EventLoop& loop;
  std::shared_ptr<MemoryAccount> account;
  std::size_t max_connections;
  std::unordered_map<GuardedConnection*, std::unique_ptr<GuardedConnection>> connections;
  LingeringCloser lingering;
  CallerGuardStatistics statistics;
  std::function<void(CallerLimit)> limit_callback;
  std::uint64_t reported_at = 0;  ///< Milliseconds of the loop.
  double retry_spread = 0;

  State(EventLoop& event_loop, CallerLimits limits);

  /// Closes connections of little use until there is room for one more; returns false if all are
  /// busy.
  bool make_room();
  /// Guards a connection that a server has accepted. Call before h2o gets it.
  GuardedConnection& adopt(h2o_socket_t* socket);
  /// Ends the requests that cost others most until the account is within its limit. May close any
  /// connection.
  void enforce();
  /// Whether a complete request of this size may be accepted. Counts and reports the rejection.
  bool admits(std::size_t bytes);
  /// Seconds for Retry-After, spread so that rejected clients do not return at the same moment.
  double retry_after();

 private:
  struct Candidate;
  void collect_http2(std::vector<Candidate>& candidates);
  std::vector<Candidate> collect();
  void evict(const Candidate& candidate);
  GuardedConnection* least_useful() const;
  void report(CallerLimit limit);
};

}  // namespace ochrespring::http
