// Where requests wait at this node while all back ends of their service are full.
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

/// A request as a queue orders it.
struct QueueRequest {
  ServiceName service;
  RouteName route;             ///< With the priority: the request class.
  TenantName tenant;           ///< Empty: nobody's.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  bool begun = false;          ///< The caller has the beginning of the stream.
  bool sent_before = false;    ///< A rejection could not promise that the request has not run.
  bool returned = false;       ///< Came back when it was told to.
  bool room_seen = false;      ///< Some back end has room now; never rejected.
  double cost = 1;             ///< Expected work, in one unit for all requests of the service.
  std::size_t bytes = 0;       ///< Of the body.
  MonotonicTime target{};      ///< When the answer or the first event is due.
  MonotonicTime deadline{};

  /// Whether a queue may end the request by a decision of its own.
  bool may_be_rejected() const { return !sent_before; }
};

/// Why a queue turns a request away.
enum class QueueRejectReason : std::uint8_t {
  kTooLate,    ///< Even an optimistic prediction ends after the deadline.
  kFull,       ///< The bound on requests or on bytes is reached.
  kDisplaced,  ///< Gave its place to a request of a smaller tenant or class.
  kExpired,    ///< No place became free in time.
  kStopping,   ///< This node stops; others serve the request.
};

struct QueueRejection {
  QueueRejectReason reason = QueueRejectReason::kTooLate;
  Duration predicted_wait{};
  Duration retry_after{};
};

/// What became of a queued request's turn.
enum class DispatchResult : std::uint8_t {
  kTaken,   ///< Sent, or ended: its place is given up.
  kNoRoom,  ///< No back end has room for it yet; it keeps its place.
};

/// The owner of a queued request.
class QueueWaiter {
 public:
  virtual ~QueueWaiter() = default;
  /// Sends the request if a back end has room. The waiter may be destroyed inside.
  virtual DispatchResult try_dispatch() = 0;
  /// The place is lost. The waiter may be destroyed inside.
  virtual void on_rejected(const QueueRejection& rejection) = 0;
  /// Asked for rarely: it costs a hash of the body.
  virtual const RequestFingerprint& queue_fingerprint() = 0;
};

/// A place in a queue; freed at once when destroyed.
class QueuePlace {
 public:
  virtual ~QueuePlace() = default;
};

/// How a request joins: with a place, rejected, or, with neither, to be sent now.
struct JoinResult {
  std::unique_ptr<QueuePlace> place;
  std::optional<QueueRejection> rejection;
};

/// One loop.
class RequestQueue {
 public:
  virtual ~RequestQueue() = default;
  /// Whether requests wait for full back ends at all.
  virtual bool enabled() const = 0;
  virtual bool has_waiting(const ServiceName& service) const = 0;
  /// Requests of all services.
  virtual std::size_t waiting() const = 0;
  /// `waiter` outlives the place. Neither of its members is called inside, but for the fingerprint.
  virtual JoinResult join(QueueRequest request, QueueWaiter& waiter) = 0;
  /// An attempt of this node has ended, so that its back end may have room. `completed`: the back
  /// end worked on the request, so that this tells how fast the service completes requests.
  virtual void note_attempt_ended(const ServiceName& service, bool completed) = 0;
};

}  // namespace ochrespring::gateway
