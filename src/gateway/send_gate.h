// Interface that decides, from back ends' own rate limits and backoff requests, whether a request
// may be sent to them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/time.h"
#include "gateway/backend_statement.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Rank of a request when requests compete for a rate limit; 0 is served first.
using SendRank = std::uint32_t;
inline constexpr SendRank kStartedStreamRank = 0;

/// A complete response head that the back end itself sent, not one that a misdirected request got
/// from another back end.
struct BackendAnswer {
  BackendId backend;
  MonotonicTime sent{};  ///< When the request was sent.
  BackendStatement statement;
};

/// Result of a claim.
enum class ClaimResult : std::uint8_t {
  kGranted,  ///< The request may be sent now.
  kDenied,   ///< A rate limit or backoff denies it. has_room() returns false for a while.
  kPending,  ///< The callback receives the result later.
};

/// When the back ends of a service that currently accept nothing from this node accept requests
/// again.
struct RoomForecast {
  Duration wait{};           ///< Until the first of them does.
  bool backing_off = false;  ///< True if it is in a backoff period, false if its limit is used up.
};

/// Used on one event loop.
class SendGate {
 public:
  virtual ~SendGate() = default;
  /// Whether the back end's rate limit and backoff may allow a request now, as far as this node
  /// knows.
  virtual bool has_room(const BackendId& backend, MonotonicTime now) const = 0;
  /// Claims one send from the back end's rate limit. Must be called before each send, including
  /// prefill calls and resumes. If it returns kPending, `done` is called later with the result.
  virtual ClaimResult claim(const BackendId& backend, SendRank rank,
                            std::function<void(bool granted)> done) = 0;
  /// Whether the back end is in a backoff period, in which this node sends it nothing.
  virtual bool is_backing_off(const BackendId& backend, MonotonicTime now) const = 0;
  /// Whether a claimed request may still be sent. Must be called right before the first byte is
  /// sent: the back end may have begun a backoff period while the request waited for its claim or a
  /// connection.
  virtual bool may_send(const BackendId& backend, MonotonicTime now) const = 0;
  /// Called when a claimed request is being sent.
  virtual void note_send(const BackendId& backend, MonotonicTime now) = 0;
  /// None if rate limits and backoff exclude no back end of the service.
  virtual std::optional<RoomForecast> forecast(const ServiceName& service,
                                               MonotonicTime now) const = 0;
  virtual void note_answer(const BackendAnswer& answer) = 0;
};

}  // namespace ochrespring::gateway
