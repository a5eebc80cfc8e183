// One attempt at a request on the engine the router chose: optionally a prefill on another engine
// first, then the answer. Checks whose answer it is.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/backend.h"
#include "proxy/request.h"
#include "proxy/request_context.h"

namespace ochrespring::proxy {

/// How an attempt failed.
struct AttemptFault {
  AttemptFailure failure = AttemptFailure::kReset;
  Outcome outcome = Outcome::kUnknown;
  EngineId engine{};       ///< Whose fault it was.
  bool planned = false;    ///< Refused for a planned change: another engine will take it.
  bool permanent = false;  ///< No back end would take it.
  std::string reason{};    ///< For people.
};

/// Told of an attempt's course, on the proxy's loop, never inside start().
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void on_answer_head(const BackendResponseHead& head) = 0;
  virtual void on_answer_body(std::string_view bytes) = 0;
  virtual void on_answer_complete() = 0;
  virtual void on_attempt_failed(const AttemptFault& fault) = 0;
};

/// Runs one attempt at a time; keeps the in-flight counts and the circuit breakers.
class AttemptRunner {
 public:
  AttemptRunner(RequestContext& context, AttemptListener& listener);
  ~AttemptRunner();
  AttemptRunner(const AttemptRunner&) = delete;
  AttemptRunner& operator=(const AttemptRunner&) = delete;

  /// Starts an attempt. Fails without sending anything, returning the fault, if an engine's routing
  /// grant is over by the local clock or the engine is no longer to get work.
  std::optional<AttemptFault> start(const ParsedRequest& request,
                                    const router::RouteDecision& decision,
                                    std::uint64_t resume_offset, MonotonicTime claim_valid_until);
  /// Cancels the attempt at the back end. Nothing is reported after it.
  void cancel();
  /// Keeps the running attempt only as the source of its KV cache, which the next attempt imports:
  /// nothing is reported of it any more, and it is cancelled once the next attempt has an answer.
  void retire_as_source();
  void release_source();
  /// Ends the attempt because of what it answered, and counts it against the engine.
  void reject();
  void set_reading(bool reading);

  bool running() const { return leg_ != nullptr; }
  /// Engine of the running attempt.
  const EngineId& engine() const { return engine_; }

 private:
  enum class Phase : std::uint8_t { kPrefill, kAnswer };

  class Leg;

  // Called by the running leg.
  void on_head(const BackendResponseHead& head);
  void on_body(std::string_view bytes);
  void on_complete();
  void on_failure(AttemptFailure failure, Outcome outcome);

  std::optional<AttemptFault> dispatch(const EngineId& engine, Phase phase);
  BackendRequest make_request(const router::EngineView& engine, Phase phase) const;
  void finish_prefill();
  void fail(AttemptFault fault);
  void refuse(std::string_view reason);
  bool check_echo(const BackendResponseHead& head);
  bool check_run(const BackendResponseHead& head);
  void release_leg();

  RequestContext& context_;
  AttemptListener& listener_;
  const ParsedRequest* request_ = nullptr;
  router::RouteDecision decision_;
  std::uint64_t resume_offset_ = 0;
  MonotonicTime claim_valid_until_ = MonotonicTime::max();
  std::unique_ptr<Leg> leg_;
  std::unique_ptr<Leg> source_;
  EngineId engine_;
  Phase phase_ = Phase::kAnswer;
  std::string prefill_answer_;
  std::string kv_handle_;
  Endpoint kv_source_;
};

}  // namespace ochrespring::proxy
