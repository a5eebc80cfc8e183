// From a request to its next send: the guard's leave, a place in the queue, the choice of a back
// end and its rate limit.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "gateway/attempt.h"
#include "gateway/claimed_send.h"
#include "gateway/environment.h"
#include "gateway/failure_answer.h"
#include "gateway/request_queue.h"
#include "gateway/retry_limit.h"

namespace ochrespring::gateway {

/// The request that a dispatch sends on.
class DispatchOwner {
 public:
  virtual ~DispatchOwner() = default;
  /// Keeps the owner, and with it the dispatch, while a callback runs.
  virtual std::shared_ptr<void> keep_alive() = 0;
  virtual const ServiceName& service() const = 0;
  virtual PlacementRequest placement_request() const = 0;
  /// What the queue is told, but for `room_seen` and `returned`.
  virtual QueueRequest queue_request() const = 0;
  virtual const RequestFingerprint& fingerprint() = 0;
  virtual Duration time_left() const = 0;
  virtual Duration target_latency() const = 0;
  /// Attempts of which a byte may have left.
  virtual std::uint32_t sends() const = 0;
  /// Whether a trial may be claimed: it is a request's only send.
  virtual bool may_claim_trial() const = 0;
  virtual SendRank send_rank() const = 0;
  virtual void start_attempt(const PlacementChoice& choice, SendKind kind) = 0;
  /// After a send that did not leave: places the request anew, if it is not a continuation.
  virtual void dispatch_unsent(SendKind kind) = 0;
  virtual void note_denied(const BackendId& backend) = 0;
  virtual void give_up(FailureReason reason) = 0;
};

/// Shared, as the guard, the gate and the queue answer later; dropped with its owner. One loop.
class RequestDispatch final : public QueueWaiter,
                              public std::enable_shared_from_this<RequestDispatch> {
 public:
  RequestDispatch(Environment& environment, DispatchOwner& owner)
      : environment_(environment), owner_(owner) {}

  /// Ends in a send, in a wait for leave or for a place, or in the end of the request.
  void begin();
  /// Whether the request may be sent on now; if not, it has ended or waits for a trial.
  bool passes_guard();
  /// Sends a begun run on to the engine that holds its copy, without a wait in the queue. False:
  /// the engine's rate limit does not allow it now.
  bool start_continuation(const PlacementChoice& choice) {
    return claim_and_start(choice, SendKind::kContinuation);
  }
  /// The request has ended: nothing is waited for any more.
  void cancel();
  /// Whether the request is in quarantine, but granted one send.
  bool trial() const { return trial_; }
  /// Whether some back ends are closed to this node, and none that is not may take the request.
  /// `tried_too`: also none of those that it was sent to.
  bool is_closed_everywhere(bool tried_too) const;
  FailureReason reason_of_no_backend() const;
  /// When a request that surely has not run may come back. `usual`: where nothing else is known.
  Duration retry_after(FailureReason reason, Duration usual) const;

  DispatchResult try_dispatch() override;
  void on_rejected(const QueueRejection& rejection) override;
  const RequestFingerprint& queue_fingerprint() override { return owner_.fingerprint(); }

 private:
  /// What is asked of a back end besides that it may take the request.
  enum class Demand : std::uint8_t {
    kNothing,  ///< As where nothing queues.
    kRoom,     ///< It is predicted to serve the request within its target.
    kTurn,     ///< The same, for a queued request: it goes on waiting where there is no server.
  };
  enum class Outcome : std::uint8_t { kDone, kNoRoom };

  void claim_trial(RequestGuard& guard);
  void send_or_queue();
  void join_behind_others(QueueRequest request);
  bool fits(const PlacementRequest& wanted, const PlacementPlan& plan, MonotonicTime now) const;
  void join_queue(QueueRequest request);
  Outcome place(Demand demand);
  bool claim_and_start(const PlacementChoice& choice, SendKind kind);
  void on_claim(const ClaimedSend& claimed, bool granted);
  std::optional<RoomForecast> forecast() const;

  Environment& environment_;
  DispatchOwner& owner_;
  std::unique_ptr<QueuePlace> place_;
  /// Sends when the request was let through to a back end. It queues again only after another one:
  /// a connection that fails or a denied claim costs no place. Continuations do not count: the
  /// queue has not let them through.
  std::optional<std::uint32_t> admitted_at_;
  std::optional<Duration> queue_retry_after_;  ///< Of the queue that rejected the request.
  bool trial_ = false;
  bool ended_ = false;
};

}  // namespace ochrespring::gateway
