// Limits what clients can make a process hold, over all servers of an event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/time.h"
#include "http/event_loop.h"
#include "http/memory_account.h"

namespace ochrespring::http {

struct CallerLimits {
  /// Bytes held for clients: requests that are being read, accepted requests, and answers that
  /// clients have not read.
  std::size_t memory_bytes = 40U << 20U;
  /// Connections from clients, with those that linger, and accepted requests. 0: three eighths of
  /// the process's descriptors, at most kMaxConnections, so that each accepted request can have a
  /// connection to a server.
  std::size_t connections = 0;
};

inline constexpr std::size_t kMaxConnections = 1500;

/// Counters since the construction of the guard.
struct CallerGuardStatistics {
  std::uint64_t requests_rejected = 0;   ///< Complete requests rejected at one of the limits.
  std::uint64_t requests_evicted = 0;    ///< Incomplete requests ended to free memory.
  std::uint64_t answers_abandoned = 0;   ///< Connections reset because their answers were not read.
  std::uint64_t connections_closed = 0;  ///< Closed to make room for others.
  std::uint64_t connections_refused =
      0;  ///< New connections closed at once, all others being busy.
};

/// Which limit was met.
enum class CallerLimit : std::uint8_t { kMemory, kConnections };
std::string_view describe(CallerLimit limit);

/// Shared by the servers of one loop, which it must outlive; used on that loop only.
///
/// At the memory limit, the clients that hold most for longest give way: incomplete requests are
/// answered 503 with Retry-After, or their streams refused, and connections whose answers are not
/// read are reset. Requests that were accepted are never ended. At the connection limit, a
/// connection that is of least use is closed (see ConnectionUse).
class CallerGuard {
 public:
  CallerGuard(EventLoop& loop, CallerLimits limits);
  ~CallerGuard();
  CallerGuard(const CallerGuard&) = delete;
  CallerGuard& operator=(const CallerGuard&) = delete;

  MemoryAccount& account();
  const MemoryAccount& account() const;
  const CallerGuardStatistics& statistics() const;
  /// Open connections, with those that linger.
  std::size_t connections() const;
  /// The limit in force, also if the settings leave it to the process's descriptors.
  std::size_t max_connections() const;
  /// Sets the callback for when a limit makes clients give way; called at most once a second.
  void on_limit(std::function<void(CallerLimit)> callback);

  /// Of the servers only.
  struct State;
  State& state() { return *state_; }

 private:
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
