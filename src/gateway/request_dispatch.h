// Prepares the next send of a request: checks the quarantine, queues the request, chooses a back
// end and claims its rate limit.
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

/// Interface of the request session that a RequestDispatch works for.
class DispatchOwner {
 public:
  virtual ~DispatchOwner() = default;
  /// Keeps the owner, and with it the dispatch, alive while a callback runs.
  virtual std::shared_ptr<void> keep_alive() = 0;
  virtual const ServiceName& service() const = 0;
  virtual PlacementRequest placement_request() const = 0;
  /// Whether the back end runs the software that began the request's stream, if it has begun.
  virtual bool may_run_at(const Backend& backend) const = 0;
  /// Describes the request for the queue. `room_seen` and `returned` are left false; the dispatch
  /// and the queue set them.
  virtual QueueRequest queue_request() const = 0;
  virtual const RequestIdentity& identity() = 0;
  virtual Duration time_left() const = 0;
  virtual Duration target_latency() const = 0;
  /// Number of attempts of which a byte may have been sent.
  virtual std::uint32_t sends() const = 0;
  /// Whether a trial may be claimed. A trial must be the request's only send.
  virtual bool may_claim_trial() const = 0;
  virtual SendRank send_rank() const = 0;
  virtual void start_attempt(const PlacementChoice& choice, SendKind kind) = 0;
  /// Called when a send did not take place: no byte of it was sent. Dispatches the request again; a
  /// resume is replaced by a retry if the route allows one.
  virtual void on_not_sent(SendKind kind) = 0;
  virtual void note_denied(const BackendId& backend) = 0;
  /// Called when the request cannot be sent now. Ends it unless an attempt is still open.
  virtual void on_unsendable(FailureReason reason) = 0;
};

/// Finds a back end for the next send of one request and starts the attempt there.
///
/// Held by a shared pointer, because the guard, the gate and the queue call back later; released
/// with its owner. Used on one event loop.
class RequestDispatch final : public QueueWaiter,
                              public std::enable_shared_from_this<RequestDispatch> {
 public:
  RequestDispatch(Environment& environment, DispatchOwner& owner)
      : environment_(environment), owner_(owner) {}

  /// Sends the request, queues it, waits for a claim, or ends it with a failure.
  void begin();
  /// Checks the quarantine. Returns whether the request may be sent now; otherwise claims a trial
  /// or ends the request.
  bool check_guard();
  /// Resumes a run at the engine that holds its copy, without queueing. Returns false if the claim
  /// to send to that engine is denied.
  bool start_resume(const PlacementChoice& choice) {
    return claim_and_start(choice, SendKind::kResume);
  }
  /// Called when the request has ended. Drops all pending callbacks and the place in the queue.
  void cancel();
  /// Gives up the send that is being prepared. A later begin() prepares another one.
  void withdraw();
  /// Whether a send is being prepared: the request is queued or waits for a claim.
  bool is_pending() const { return queued_ || claim_pending_; }
  /// Whether the request is quarantined but was granted one send.
  bool trial() const { return trial_; }
  /// Whether no back end can take the request now and rate limits, backoff or the software that
  /// began its stream exclude at least one.
  /// With `include_tried`, the back ends that it was sent to are considered, too.
  bool no_backend_accepts(bool include_tried) const;
  FailureReason no_backend_reason() const;
  /// Retry-After of a request that certainly has not run. `fallback` applies if nothing better is
  /// known.
  Duration retry_after(FailureReason reason, Duration fallback) const;

  DispatchResult try_dispatch() override;
  void on_rejected(const QueueRejection& rejection) override;
  const RequestFingerprint& queue_fingerprint() override { return owner_.identity().fingerprint; }

 private:
  /// What a back end must fulfil, besides being allowed to take the request.
  enum class Requirement : std::uint8_t {
    kNone,  ///< No further condition, as without a queue.
    kRoom,  ///< It is predicted to serve the request within its target latency.
    /// As kRoom. If no back end is available, a request that was never sent stays queued, unless
    /// rate limits or backoff exclude a back end.
    kRoomWhileQueued,
  };
  enum class Outcome : std::uint8_t { kDone, kNoRoom };

  bool is_trial_possible(const RequestGuard& guard) const;
  void claim_trial(RequestGuard& guard);
  void send_or_queue();
  void join_behind_others(QueueRequest request);
  bool fits(const PlacementRequest& wanted, const PlacementPlan& plan, MonotonicTime now) const;
  void join_queue(QueueRequest request);
  Outcome choose_and_send(Requirement requirement);
  bool claim_and_start(const PlacementChoice& choice, SendKind kind);
  void on_claim(const ClaimedSend& claimed, bool granted);
  void on_claim_settled(std::uint64_t claim, const ClaimedSend& claimed, bool granted);
  std::optional<RoomForecast> forecast() const;

  Environment& environment_;
  DispatchOwner& owner_;
  std::unique_ptr<QueuePlace> place_;
  /// Value of sends() when the request was last admitted to a back end. It queues again only after
  /// another send, so a failed connection or a denied claim does not cost it its place. Resumes do
  /// not count, since they bypass the queue.
  std::optional<std::uint32_t> admitted_at_send_;
  std::optional<Duration> queue_retry_after_;  ///< Set by the queue when it rejects the request.
  bool queued_ = false;
  bool claim_pending_ = false;
  std::uint64_t claims_ = 0;  ///< Number of the latest claim. Results of earlier ones are ignored.
  bool trial_ = false;
  bool ended_ = false;
};

}  // namespace ochrespring::gateway
