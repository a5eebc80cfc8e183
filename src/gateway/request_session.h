// Handles one caller's request: sends it to back ends, decides after each attempt whether to retry,
// and answers the caller.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/timer.h"
#include "gateway/attempt.h"
#include "gateway/attempt_starter.h"
#include "gateway/backend_request.h"
#include "gateway/caller_answer.h"
#include "gateway/environment.h"
#include "gateway/failure_answer.h"
#include "gateway/guard_reports.h"
#include "gateway/open_attempts.h"
#include "gateway/prompt.h"
#include "gateway/prompt_cache.h"
#include "gateway/request_dispatch.h"
#include "gateway/request_fingerprint.h"
#include "gateway/request_log.h"
#include "gateway/retry_limit.h"
#include "gateway/route_table.h"
#include "gateway/run_end_check.h"
#include "gateway/stream_backup.h"
#include "gateway/stream_continuation.h"
#include "gateway/stream_timing.h"
#include "http/client.h"
#include "http/server.h"

namespace ochrespring::gateway {

/// What the current configuration says about a request before it is started.
struct Admission {
  const Route* route = nullptr;  ///< Null if no route matches.
  KeyCheck key;

  bool allowed() const { return route != nullptr && key.allowed; }
  /// Why the request is not allowed.
  FailureReason refusal() const {
    return route == nullptr ? FailureReason::kNoRoute : FailureReason::kUnknownKey;
  }
};

/// A caller's request and the writer of its answer.
struct IncomingRequest {
  http::Request request;
  std::shared_ptr<http::ResponseWriter> writer;
  MonotonicTime arrived{};  ///< When it reached this machine. Its deadline counts from then.
};

/// Handles a request from its arrival to the final answer. Callbacks hold a shared pointer while
/// they run. Used on one event loop.
///
/// What may follow an attempt depends on whether any byte of the request was sent and whether the
/// back end states that it did not run the request. Only a request of which no attempt can have run
/// is answered as not run (503). Otherwise, a request that must not be retried ends immediately
/// with an unknown outcome (502 or 504).
///
/// A silent back end may still be working, and nothing else is certain to bring the answer. So its
/// attempt stays open while another back end is tried, until one of them brings what the caller
/// lacks.
class RequestSession final : public AttemptEvents,
                             public DispatchOwner,
                             public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(Environment& environment, std::shared_ptr<const RouteTable> routes,
                 const Admission& admission, IncomingRequest incoming);

  /// Starts the request. `on_end` is called once, when the request has ended.
  void begin(std::function<void()> on_end);

  void on_head(Attempt& attempt, const http::ResponseHead& head) override;
  void on_body(Attempt& attempt, std::string_view bytes) override;
  void on_complete(Attempt& attempt) override;
  void on_failure(Attempt& attempt, const http::HttpError& error, bool sent) override;

  /// Called when a request or a prompt part becomes quarantined. Ends this request if it is that
  /// one or has that part, is not a trial, and no back end has started to answer it.
  void on_quarantined(const RequestFingerprint& quarantined);
  /// Called when a back end is no longer registered. A stream that it still sends continues.
  void on_backend_unregistered(const BackendId& backend);
  /// Called when the process stops. Ends the request with an answer that says whether it may have
  /// run.
  void on_stop();

 private:
  // DispatchOwner:
  std::shared_ptr<void> keep_alive() override { return shared_from_this(); }
  const ServiceName& service() const override { return service_; }
  PlacementRequest placement_request() const override;
  bool may_run_at(const Backend& backend) const override {
    return !continuation_.software() || software_of(backend) == *continuation_.software();
  }
  QueueRequest queue_request() const override;
  const RequestIdentity& identity() override { return reports_.identity(); }
  Duration time_left() const override { return deadline_ - environment_.clock.now(); }
  Duration target_latency() const override { return route_.target_latency; }
  std::uint32_t sends() const override { return retry_limit_.sends(); }
  bool may_claim_trial() const override { return retry_limit_.sends() == 0 && !prefill_attempted_; }
  SendRank send_rank() const override {
    return has_stream_started() ? kStartedStreamRank : kStartedStreamRank + 1 + priority();
  }
  void note_denied(const BackendId& backend) override { log_.note_denied(backend); }
  void start_attempt(const PlacementChoice& choice, SendKind kind) override;
  void on_not_sent(SendKind kind) override;
  void on_unsendable(FailureReason reason) override;

  void select_service(ServiceName service);
  /// Looks up which software began the stream that the caller takes up, and continues it there.
  void take_up_stream();
  void on_stream_found(const StreamOrigin& origin);
  /// None if the number of tokens per event is not known for the service.
  std::optional<StreamRequirements> stream_needs() const;
  AttemptInput attempt_input() const;
  std::uint32_t priority() const;
  /// The back end of the current attempt has sent something.
  void note_heard();
  void note_statement(const BackendStatement& statement);
  void end_prefill(bool failed);
  void observe_prefill();
  void observe_stream();
  void note_run(Duration ago);
  void note_probable_run(const Attempt& attempt);
  /// Acquires one more send from the route's attempts and the retry budget. Returns whether it was
  /// granted.
  bool acquire_retry();
  void on_send_withdrawn();
  void fail_attempt(const http::HttpError& error);
  FailedRun failed_run(http::HttpErrc error) const;
  /// Whether the stream is replicated and its engine is unregistered or was replaced.
  bool is_runner_missing() const;
  /// Finds out whether a missing engine still works on the stream. Returns false if there is
  /// nothing to find out.
  bool check_missing_runner();
  void on_missing_runner_checked(RunVerdict verdict, MonotonicTime last_heard);
  /// Resumes a stream whose run has ended although its attempt is still open.
  void resume_silent_run();
  void resume_or_retry(const FailedRun& run);
  void check_broken_run(const FailedRun& run);
  void retry_instead_of_resume(std::string_view obstacle);
  void resume_at_backup();
  void retry_or_fail(FailureReason reason);
  void end_attempt(AttemptOutcome verdict);

  /// Makes an open attempt the current one.
  void select(Attempt& attempt);
  /// Records that the back end of the current attempt is silent. Returns false if the report of the
  /// attempt has quarantined the request, which ends it.
  bool note_stalled();
  /// Whether another attempt, or a send that is being prepared, may bring the answer without a
  /// further send.
  bool expects_other() const;
  /// Called when an attempt has ended. Awaits what expects_other() refers to; returns false if
  /// there is nothing.
  bool continue_with_other();
  void continue_or_retry(FailureReason reason);
  void end_other_attempts();
  /// Returns false as note_stalled().
  bool report_open_attempts(AttemptFailureKind kind);

  void watch_progress();
  void on_progress_timeout();
  void on_no_progress();
  void try_elsewhere();
  /// Whether a backup engine has not said yet whether it resumes the run of a silent engine.
  bool is_resume_unanswered() const;
  void give_up_resume();

  void handle_refusal();
  void handle_complete_answer();
  void relay_complete_answer();
  bool may_hold(std::size_t bytes);
  void handle_large_body();
  /// Sends part of the answer to the caller; stops reading from the back end while the caller lags.
  void forward_bytes(std::string_view bytes);
  void forward_events();
  bool forward_event(const StreamEvent& event);

  void abandon(FailureReason reason);
  /// Ends the request without an answer of a back end, whatever attempts are open.
  void fail(FailureReason reason);
  void on_caller_disconnected();
  void on_deadline();
  void finish(std::string_view outcome);
  void note(std::string_view message, std::string_view detail) {
    log_.note_attempt(message, detail, attempts_.current());
  }

  bool is_stream() const { return route_.kind == RequestKind::kStreaming; }
  /// The current attempt, which may have ended.
  Attempt& current() const { return *attempts_.current(); }
  /// Whether the caller has received the start of the stream.
  bool has_stream_started() const { return answer_.has_begun() || last_event_.has_value(); }

  Environment& environment_;
  std::shared_ptr<const RouteTable> routes_;
  const Route& route_;
  const Tenant* tenant_;  ///< Owned by `routes_`; null for a request without a tenant.
  RequestLog log_;
  http::Request request_;
  CallerAnswer answer_;
  std::function<void()> on_end_;
  std::string id_;
  ServiceName service_;
  std::optional<Prompt> prompt_;
  MonotonicTime arrived_{};
  MonotonicTime deadline_{};
  Timer deadline_timer_;
  Timer progress_timer_;
  PrefillCacheHolder cache_;
  StreamBackup backup_;
  StreamContinuation continuation_;
  AttemptStarter starter_;
  std::set<BackendId> tried_;
  RetryLimit retry_limit_;
  RunEndCheck run_end_check_;
  OpenAttempts attempts_;
  GuardReports reports_;
  std::shared_ptr<RequestDispatch> dispatch_;
  std::uint32_t unreachable_ = 0;   ///< Attempts that got no connection.
  bool prefill_attempted_ = false;  ///< A prefill engine was tried; only one is tried per request.
  bool may_have_run_ = false;
  /// Why the last attempt was not retried; empty if no retry was needed, and if the retry budget
  /// denied the run after a failed prefill call.
  std::string_view retry_denied_reason_;
  std::string_view failure_reason_;  ///< Empty unless the request ends without an answer.
  std::uint64_t attempts_stalled_ = 0;
  bool run_noted_ = false;
  std::optional<std::uint64_t> last_event_;
  StreamTiming timing_;
  bool ended_ = false;
};

}  // namespace ochrespring::gateway
