// Interface of the queue in which requests wait at this node while all back ends of their service
// are full.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// What a queue needs to know of a request to order it.
struct QueueRequest {
  ServiceName service;
  RouteName route;             ///< Together with the priority, the request class.
  TenantName tenant;           ///< Empty for a request without a tenant.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  bool begun = false;          ///< The caller has received the start of the stream.
  /// Sent to a back end before, so a rejection could not be answered as not run.
  bool sent_before = false;
  /// The caller sent it again after the Retry-After time of an earlier rejection, or it was sent to
  /// a back end before. Set by the queue.
  bool returned = false;
  bool room_seen = false;  ///< Some back end has room now. The request is not rejected then.
  double cost = 1;         ///< Expected work, in the same unit for all requests of the service.
  std::size_t bytes = 0;   ///< Size of the body.
  MonotonicTime target{};  ///< When the answer or first event is due.
  MonotonicTime deadline{};

  /// Whether a queue may reject the request.
  bool may_be_rejected() const { return !sent_before; }
};

/// Why a queue rejects a request.
enum class QueueRejectReason : std::uint8_t {
  kTooLate,    ///< Even the most optimistic predicted start is too late for the deadline.
  kFull,       ///< The limit on requests or bytes is reached.
  kDisplaced,  ///< Removed from a full queue for a tenant and class with fewer requests in it.
  kExpired,    ///< No back end had room in time.
  kStopping,   ///< This node is stopping; other nodes can serve the request.
};

struct QueueRejection {
  QueueRejectReason reason = QueueRejectReason::kTooLate;
  Duration predicted_wait{};
  Duration retry_after{};
};

/// Result of trying to send a queued request.
enum class DispatchResult : std::uint8_t {
  kLeftQueue,  ///< Sent or ended; it leaves the queue.
  kNoRoom,     ///< No back end has room for it yet, so it keeps its place.
};

/// Interface for the owner of a queued request.
class QueueWaiter {
 public:
  virtual ~QueueWaiter() = default;
  /// Sends the request if a back end has room. The waiter may be destroyed during the call.
  virtual DispatchResult try_dispatch() = 0;
  /// Called when the queue rejects the request, which has lost its place. The waiter may be
  /// destroyed during the call.
  virtual void on_rejected(const QueueRejection& rejection) = 0;
  /// Fingerprint of the request. Computing it hashes the body, so the queue rarely asks for it.
  virtual const RequestFingerprint& queue_fingerprint() = 0;
};

/// A place in a queue, released on destruction.
class QueuePlace {
 public:
  virtual ~QueuePlace() = default;
};

/// Result of joining a queue: a place, a rejection, or neither if the request is to be sent now.
struct JoinResult {
  std::unique_ptr<QueuePlace> place;
  std::optional<QueueRejection> rejection;
};

/// Used on one event loop.
class RequestQueue {
 public:
  virtual ~RequestQueue() = default;
  /// Whether queueing is enabled.
  virtual bool enabled() const = 0;
  virtual bool has_waiting(const ServiceName& service) const = 0;
  /// Number of waiting requests of all services.
  virtual std::size_t waiting() const = 0;
  /// `waiter` must outlive the place. join() calls only its queue_fingerprint().
  virtual JoinResult join(QueueRequest request, QueueWaiter& waiter) = 0;
  /// Called when an attempt of this node has ended, so its back end may have room. `completed` says
  /// that the back end worked on the request, so that the attempt counts for the rate at which the
  /// service completes requests.
  virtual void note_attempt_ended(const ServiceName& service, bool completed) = 0;
};

}  // namespace ochrespring::gateway
