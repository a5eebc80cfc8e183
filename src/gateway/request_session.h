// One caller's request from its arrival to its end: attempts at back ends, their judgement, and the
// answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/timer.h"
#include "gateway/attempt.h"
#include "gateway/attempt_starter.h"
#include "gateway/backend_request.h"
#include "gateway/environment.h"
#include "gateway/failure_answer.h"
#include "gateway/guard_reports.h"
#include "gateway/prompt.h"
#include "gateway/prompt_cache.h"
#include "gateway/repeat_limit.h"
#include "gateway/request_dispatch.h"
#include "gateway/request_fingerprint.h"
#include "gateway/request_log.h"
#include "gateway/route_table.h"
#include "gateway/stream_backup.h"
#include "gateway/stream_timing.h"
#include "http/client.h"
#include "http/server.h"

namespace ochrespring::gateway {

/// What the configuration in force says of a request before it begins.
struct Admission {
  const Route* route = nullptr;  ///< Null: there is none.
  KeyCheck key;

  bool allowed() const { return route != nullptr && key.allowed; }
  /// Why it is not.
  FailureReason refusal() const {
    return route == nullptr ? FailureReason::kNoRoute : FailureReason::kUnknownKey;
  }
};

/// Shares its life with the exchange it waits for; used on its loop.
///
/// Two facts decide what may follow an attempt: whether any byte of the request left, and whether
/// the back end said that it did not run it. Only a request of which every attempt is certain not
/// to have run is answered as such (503); after anything else a request that may not be repeated
/// ends as unknown (502 or 504) at once.
class RequestSession final : public http::ResponseObserver,
                             public DispatchOwner,
                             public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(Environment& environment, std::shared_ptr<const RouteTable> routes,
                 const Admission& admission, http::Request request,
                 std::shared_ptr<http::ResponseWriter> writer);

  /// `on_end` is called once, when nothing is left to do.
  void begin(std::function<void()> on_end);

  void on_head(const http::ResponseHead& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete() override;
  void on_failure(const http::HttpError& error, bool sent) override;

  /// The request has come to be quarantined: where no back end has begun to answer, it ends.
  void on_quarantined(const RequestFingerprint& request);
  /// A back end is no longer registered. A stream that it is still sending goes on.
  void on_backend_gone(const BackendId& backend);
  /// The process ends: so does the request, with what is known of it.
  void on_stop();

 private:
  // What its dispatch asks for.
  std::shared_ptr<void> keep_alive() override { return shared_from_this(); }
  const ServiceName& service() const override { return service_; }
  PlacementRequest placement_request() const override;
  QueueRequest queue_request() const override;
  const RequestFingerprint& fingerprint() override { return reports_.fingerprint(); }
  Duration time_left() const override { return deadline_ - environment_.clock.now(); }
  Duration target_latency() const override { return route_.target_latency; }
  std::uint32_t sends() const override { return repeats_.sends(); }
  bool may_claim_trial() const override { return repeats_.sends() == 0 && !read_apart_; }
  SendRank send_rank() const override {
    return is_begun() ? kBegunStreamRank : kBegunStreamRank + 1 + priority();
  }
  void note_denied(const BackendId& backend) override { log_.note_denied(backend); }
  void start_attempt(const PlacementChoice& choice, SendKind kind) override;
  void dispatch_unsent(SendKind kind) override;
  void give_up(FailureReason reason) override;

  /// None where nothing is known of the events of the service's streams.
  std::optional<StreamRequirements> stream_needs() const;
  AttemptInput attempt_input() const;
  std::uint32_t priority() const;
  void note_statement(const BackendStatement& statement);
  void end_prefill(bool refused);
  void observe_prefill();
  void observe_stream();
  void note_run(Duration ago);
  bool may_send_again();
  void on_withdrawn();
  BrokenRun broken_run(http::HttpErrc error) const;
  /// Whether the stream's server is known to have ended, and it has a copy.
  bool is_runner_gone() const;
  /// Whether the stream has been taken from a server that is gone and silent.
  bool leaves_gone_runner();
  void abandon_silent_attempt();
  void continue_or_retry(const BrokenRun& run);
  void retry_or_give_up(FailureReason reason);
  void end_attempt(AttemptOutcome verdict);
  void watch_progress();
  void on_no_progress();

  void judge_complete();
  void relay_whole();
  void answer_whole(const http::ResponseHead& head, std::string_view body);
  void relay_events();
  bool pass_event(const StreamEvent& event);
  void open_answer(const http::ResponseHead& head);

  void abandon(FailureReason reason);
  void caller_gone();
  void on_deadline();
  void finish(std::string_view outcome);
  void note(std::string_view message, std::string_view detail) {
    log_.note_attempt(message, detail, attempt_ ? &*attempt_ : nullptr);
  }

  bool is_stream() const { return route_.kind == RequestKind::kStreaming; }
  /// Whether an attempt runs.
  bool at_work() const { return attempt_ && !attempt_->backend.empty(); }
  /// Whether the caller has the beginning of the stream.
  bool is_begun() const { return answer_open_ || last_event_.has_value(); }

  Environment& environment_;
  std::shared_ptr<const RouteTable> routes_;
  const Route& route_;
  const Tenant* tenant_;  ///< Of the routes' configuration; null if nobody's.
  RequestLog log_;
  http::Request request_;
  std::shared_ptr<http::ResponseWriter> writer_;
  std::function<void()> on_end_;
  std::string id_;
  ServiceName service_;
  std::optional<Prompt> prompt_;
  MonotonicTime arrived_{};
  MonotonicTime deadline_{};
  Timer deadline_timer_;
  Timer progress_timer_;
  std::optional<Attempt> attempt_;
  PrefillCacheHolder cache_;
  StreamBackup backup_;
  AttemptStarter starter_;
  std::set<BackendId> tried_;
  RepeatLimit repeats_;
  GuardReports reports_;
  std::shared_ptr<RequestDispatch> dispatch_;
  std::uint32_t unreachable_ = 0;  ///< Attempts without a connection.
  bool read_apart_ = false;        ///< A prefill engine was asked; once is enough.
  bool may_have_run_ = false;
  std::string_view not_sent_again_;  ///< Why not, after the last attempt; empty: no need.
  bool run_noted_ = false;
  bool answer_open_ = false;  ///< The caller has the head.
  /// A back end's own failure, for a caller who would get none of a server's answers otherwise.
  struct FailedAnswer {
    http::ResponseHead head;
    std::string body;
  };
  std::optional<FailedAnswer> failed_answer_;
  std::optional<std::uint64_t> last_event_;
  StreamTiming timing_;
  bool ended_ = false;
};

}  // namespace ochrespring::gateway
