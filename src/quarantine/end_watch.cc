#include "quarantine/end_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ochrespring::quarantine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// From a break to the probe: a process that ends closes its connections and its listener one after
/// the other.
constexpr Duration kProbeDelay = milliseconds(30);
/// How long a case without an answer waits for the view: three heartbeats and a look.
constexpr Duration kCaseLife = seconds(10);
/// A server that accepted a probe this lately is not probed for silence: under load many requests
/// end at their deadlines.
constexpr Duration kAcceptedLately = seconds(1);
/// Requests kept of one server's end.
constexpr std::size_t kMostAttempts = 512;

}  // namespace

EndWatch::EndWatch(const Clock& clock, TimerService& timers, const gateway::FleetState& fleet,
                   Probe probe, Ended ended)
    : clock_(clock),
      timers_(timers),
      fleet_(fleet),
      probe_(std::move(probe)),
      ended_(std::move(ended)) {}

void EndWatch::note_break(const gateway::FailedAttempt& attempt) {
  const auto known = ended_at_.find(attempt.backend);
  if (known != ended_at_.end()) {
    // An attempt of later met a connection of before the end.
    if (attempt.started < known->second) {
      ended_(attempt.backend, {attempt});
    }
    return;
  }
  const gateway::Backend* server = fleet_.find(attempt.backend);
  if (server == nullptr || fleet_.is_leaving(*server)) {
    return;
  }
  const auto accepted = accepted_at_.find(attempt.backend);
  if (attempt.kind != gateway::AttemptFailureKind::kClosed && accepted != accepted_at_.end() &&
      clock_.now() - accepted->second < kAcceptedLately) {
    return;
  }
  std::unique_ptr<Case>& open = cases_[attempt.backend];
  if (open == nullptr) {
    open = std::make_unique<Case>(timers_);
    open->address = server->address;
    open->timer.arm(kProbeDelay, [this, id = attempt.backend] { probe(id); });
  }
  if (open->attempts.size() < kMostAttempts) {
    open->attempts.push_back(attempt);
  }
}

void EndWatch::probe(const gateway::BackendId& server) {
  Case& open = *cases_.at(server);
  open.probed = true;
  open.timer.arm(kCaseLife, [this, server] { cases_.erase(server); });
  ++probes_;
  probe_(open.address, [this, server](http::ProbeResult result) { take_result(server, result); });
}

void EndWatch::take_result(const gateway::BackendId& server, http::ProbeResult result) {
  if (!cases_.contains(server)) {
    return;
  }
  switch (result) {
    case http::ProbeResult::kAccepted:
      cases_.erase(server);
      forget_old();
      accepted_at_[server] = clock_.now();
      return;
    case http::ProbeResult::kRefused:
      resolve_as_ended(server);
      return;
    case http::ProbeResult::kNoAnswer:
      return;
  }
}

void EndWatch::note_gone(const gateway::Backend& server) {
  if (fleet_.is_leaving(server)) {
    cases_.erase(server.id);
  } else if (cases_.contains(server.id)) {
    resolve_as_ended(server.id);
  }
}

void EndWatch::resolve_as_ended(const gateway::BackendId& server) {
  const std::unique_ptr<Case> ended = std::move(cases_.extract(server).mapped());
  forget_old();
  ended_at_[server] = clock_.now();
  ended_(server, ended->attempts);
}

void EndWatch::forget_old() {
  const MonotonicTime now = clock_.now();
  for (auto* times : {&ended_at_, &accepted_at_}) {
    std::erase_if(*times, [&](const auto& entry) { return now - entry.second > kCaseLife; });
  }
}

CrashLedger::Servers EndWatch::may_have_ended(const gateway::RequestFingerprint& request) const {
  CrashLedger::Servers servers;
  for (const auto& [server, open] : cases_) {
    const bool had = std::any_of(
        open->attempts.begin(), open->attempts.end(), [&](const gateway::FailedAttempt& attempt) {
          return attempt.request == request && attempt.kind == gateway::AttemptFailureKind::kClosed;
        });
    if (had) {
      servers.insert(server);
    }
  }
  return servers;
}

}  // namespace ochrespring::quarantine
