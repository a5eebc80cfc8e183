// Asks engines whether runs have ended whose connections broke.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "base/timer.h"
#include "gateway/engine_calls.h"
#include "gateway/header_names.h"
#include "gateway/run_inquiry.h"
#include "http/client.h"
#include "logging/logger.h"
#include "metrics/metrics.h"

namespace ochrespring::run_inquiry {

/// Counters since the construction of the inquiry.
struct InquiryStatistics {
  std::uint64_t runs_asked_for = 0;
  std::uint64_t calls = 0;
  std::uint64_t ended = 0;      ///< Verdicts kEnded.
  std::uint64_t not_shown = 0;  ///< Verdicts kNotShown.
};

/// The end of a connection does not tell whether its engine has stopped. What does:
///
/// - the engine's own list of runs, which does not have the run;
/// - a refused connection, or the answer of another process: the engine's process is gone, and with
///   it all of its runs;
/// - for an engine that is no longer registered, that it accepts no connection.
///
/// One call answers for all runs that are asked about at an engine, and at most one is on its way
/// to each. A run that is still listed is asked for again, since the list is not up to date.
///
///     inquiry.ask({.engine = id, .address = address, .id = "r1", ...},
///                 [](RunVerdict verdict) { ... });
///
/// Used on one event loop.
class EngineRunInquiry final : public gateway::RunInquiry {
 public:
  /// Sends a call and passes on its result, not from within the call.
  using Fetch =
      std::function<void(const gateway::BackendId& engine, http::ClientRequest,
                         std::function<void(Result<http::Response, http::FetchFailure>)> done)>;

  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    const gateway::EngineCalls& engines;
    const gateway::HeaderNames& names;
    logging::Logger& logger;
  };

  /// The referenced objects must outlive the inquiry.
  EngineRunInquiry(Dependencies deps, Fetch fetch);

  void ask(gateway::RunQuery query, Callback done) override;
  const InquiryStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  struct Waiter {
    gateway::RunQuery query;
    Callback done;
    MonotonicTime asked{};
  };
  /// The runs that are asked about at one engine.
  struct Inquiry {
    explicit Inquiry(TimerService& timers) : pause(timers) {}
    Endpoint address;
    std::vector<Waiter> waiters;
    std::size_t calls = 0;
    Timer pause;  ///< Until the next call.
  };
  /// What one call has shown about an engine.
  struct Finding;

  void call(const gateway::BackendId& engine);
  void on_result(const gateway::BackendId& engine, MonotonicTime sent,
                 const Result<http::Response, http::FetchFailure>& result);
  Finding read(const Result<http::Response, http::FetchFailure>& result) const;
  static bool shows_end(const Finding& finding, const gateway::RunQuery& query, MonotonicTime sent);
  void call_again(const gateway::BackendId& engine);
  void settle(const Waiter& waiter, gateway::RunVerdict verdict);
  void note_terminated(const gateway::BackendId& engine);

  Dependencies deps_;
  Fetch fetch_;
  std::map<gateway::BackendId, std::unique_ptr<Inquiry>> inquiries_;
  /// Engines whose processes are gone, and since when that is known.
  std::map<gateway::BackendId, MonotonicTime> terminated_;
  InquiryStatistics statistics_;
};

}  // namespace ochrespring::run_inquiry
