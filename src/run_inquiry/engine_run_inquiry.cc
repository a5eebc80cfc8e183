#include "run_inquiry/engine_run_inquiry.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "gateway/backend_incarnation.h"
#include "gateway/backend_statement.h"
#include "metrics/counter_table.h"

namespace ochrespring::run_inquiry {

namespace {

using gateway::BackendId;
using gateway::RunQuery;
using gateway::RunVerdict;
using std::chrono::milliseconds;

/// Engines are in the same network.
constexpr Duration kCallTimeout = milliseconds(400);
/// Pauses between the calls to one engine. The first one is short: an engine that is just being
/// ended may still accept a connection.
constexpr std::array<Duration, 3> kPauses{milliseconds(50), milliseconds(150), milliseconds(250)};
/// An engine's list shows how it stood up to this long before. A run that began later may be
/// missing from the list although it goes on.
constexpr Duration kMaxListAge = milliseconds(1000);
/// How long an engine is remembered as terminated: for the streams that break together. Not longer,
/// because a partition may refuse connections as well.
constexpr Duration kTerminatedMemory = milliseconds(100);
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kServerError = 500;

constexpr metrics::CounterRow<InquiryStatistics> kCounters[] = {
    {"run_inquiries", "Runs asked for after their connection broke or their engine fell silent",
     &InquiryStatistics::runs_asked_for},
    {"run_inquiry_calls", "Calls to engines that ask for their runs", &InquiryStatistics::calls},
    {"runs_found_ended", "Runs that were shown to have ended", &InquiryStatistics::ended},
    {"runs_not_found_ended", "Runs that were not shown to have ended",
     &InquiryStatistics::not_shown},
};

}  // namespace

struct EngineRunInquiry::Finding {
  bool process_gone = false;                     ///< Refused, or another process has the address.
  bool unreachable = false;                      ///< No connection in time.
  std::optional<std::vector<std::string>> runs;  ///< None: the engine has not told.
  /// The answer does not tell of runs, nor would another one.
  bool does_not_tell = false;
};

EngineRunInquiry::EngineRunInquiry(Dependencies deps, Fetch fetch)
    : deps_(deps), fetch_(std::move(fetch)) {}

void EngineRunInquiry::ask(RunQuery query, Callback done) {
  ++statistics_.runs_asked_for;
  const MonotonicTime now = deps_.clock.now();
  std::erase_if(terminated_,
                [&](const auto& entry) { return now - entry.second > kTerminatedMemory; });
  const BackendId engine = query.engine;
  Waiter waiter{std::move(query), std::move(done), now};
  if (terminated_.contains(engine)) {
    settle(waiter, RunVerdict::kEnded);
    return;
  }
  std::unique_ptr<Inquiry>& inquiry = inquiries_[engine];
  const bool begins = inquiry == nullptr;
  if (begins) {
    inquiry = std::make_unique<Inquiry>(deps_.timers);
    inquiry->address = waiter.query.address;
  }
  inquiry->waiters.push_back(std::move(waiter));
  if (begins) {
    call(engine);
  }
}

void EngineRunInquiry::call(const BackendId& engine) {
  Inquiry& inquiry = *inquiries_.at(engine);
  ++inquiry.calls;
  ++statistics_.calls;
  http::ClientRequest request = deps_.engines.list_runs();
  request.endpoint = inquiry.address;
  request.headers.push_back(
      {deps_.names.expected_instance, std::string(gateway::backend_name(engine))});
  request.timeout = kCallTimeout;
  request.connect_timeout = kCallTimeout;
  // A pooled connection would not tell a terminated process from one that closed it.
  request.fresh_connection = true;
  request.close_ends_answer = true;
  fetch_(engine, std::move(request), [this, engine, sent = deps_.clock.now()](const auto& result) {
    on_result(engine, sent, result);
  });
}

EngineRunInquiry::Finding EngineRunInquiry::read(
    const Result<http::Response, http::FetchFailure>& result) const {
  Finding finding;
  if (!result) {
    const http::FetchFailure& failure = result.error();
    finding.process_gone = failure.error.code == http::HttpErrc::kRefused;
    finding.unreachable = failure.error.code == http::HttpErrc::kConnect;
    return finding;
  }
  const http::Response& response = result.value();
  const std::uint16_t status = response.head.status;
  finding.process_gone = gateway::parse_statement(response.head, deps_.names).misdirected;
  if (status == kOk) {
    finding.runs = deps_.engines.parse_runs(response.body);
  }
  finding.does_not_tell = !finding.runs && status < kServerError && status != kTooManyRequests;
  return finding;
}

bool EngineRunInquiry::shows_end(const Finding& finding, const RunQuery& query,
                                 MonotonicTime sent) {
  if (finding.process_gone || (finding.unreachable && !query.engine_registered)) {
    return true;
  }
  return finding.runs && sent - query.first_event >= kMaxListAge &&
         std::find(finding.runs->begin(), finding.runs->end(), query.id) == finding.runs->end();
}

void EngineRunInquiry::on_result(const BackendId& engine, MonotonicTime sent,
                                 const Result<http::Response, http::FetchFailure>& result) {
  const Finding finding = read(result);
  if (finding.process_gone) {
    note_terminated(engine);
  }
  // Callbacks may ask again, which must not change the list that is being read.
  const std::unique_ptr<Inquiry> inquiry = std::move(inquiries_.extract(engine).mapped());
  std::vector<Waiter> settled;
  std::vector<Waiter> remaining;
  std::vector<RunVerdict> verdicts;
  const MonotonicTime now = deps_.clock.now();
  for (Waiter& waiter : inquiry->waiters) {
    if (waiter.query.asker.expired()) {
      continue;
    }
    const bool ended = shows_end(finding, waiter.query, sent);
    if (!ended && !finding.does_not_tell && now - waiter.asked < waiter.query.patience) {
      remaining.push_back(std::move(waiter));
      continue;
    }
    verdicts.push_back(ended ? RunVerdict::kEnded : RunVerdict::kNotShown);
    settled.push_back(std::move(waiter));
  }
  if (!remaining.empty()) {
    auto next = std::make_unique<Inquiry>(deps_.timers);
    next->address = inquiry->address;
    next->calls = inquiry->calls;
    next->waiters = std::move(remaining);
    inquiries_[engine] = std::move(next);
    call_again(engine);
  }
  for (std::size_t i = 0; i != settled.size(); ++i) {
    settle(settled[i], verdicts[i]);
  }
}

void EngineRunInquiry::call_again(const BackendId& engine) {
  Inquiry& inquiry = *inquiries_.at(engine);
  inquiry.pause.arm(kPauses.at(std::min(inquiry.calls, kPauses.size()) - 1),
                    [this, engine] { call(engine); });
}

void EngineRunInquiry::settle(const Waiter& waiter, RunVerdict verdict) {
  if (waiter.query.asker.expired()) {
    return;
  }
  ++(verdict == RunVerdict::kEnded ? statistics_.ended : statistics_.not_shown);
  waiter.done(verdict);
}

void EngineRunInquiry::note_terminated(const BackendId& engine) {
  terminated_[engine] = deps_.clock.now();
  deps_.logger.write({logging::Level::kInfo,
                      "run_inquiry",
                      "engine has terminated",
                      {{"engine", engine.value()}}});
}

void EngineRunInquiry::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
}

}  // namespace ochrespring::run_inquiry
