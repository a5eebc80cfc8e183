#include "quarantine/crash_announcer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ochrespring::quarantine {

namespace {

using gateway::RequestFingerprint;

/// Maximum size of a batch in bytes, so that it fits into a datagram, and upper bounds for the
/// encoded size of a report and of each of its terminations.
constexpr std::size_t kMaxBatchBytes = 6000;
constexpr std::size_t kReportBytes = 80;
constexpr std::size_t kTerminationBytes = 80;

std::size_t size_of(const CrashReport& report) {
  return kReportBytes + kTerminationBytes * report.terminations.size();
}

}  // namespace

CrashAnnouncer::CrashAnnouncer(const Clock& clock, TimerService& timers, const CrashLedger& ledger,
                               CrashAnnouncerOptions options, Send send)
    : clock_(clock),
      ledger_(ledger),
      options_(std::move(options)),
      send_(std::move(send)),
      batch_timer_(timers),
      resend_timer_(timers),
      refresh_timer_(timers) {}

void CrashAnnouncer::note_change(const RequestFingerprint& request) {
  unsent_.insert(request);
  if (!options_.resend_delays.empty()) {
    resends_[request] = {.due = clock_.now() + options_.resend_delays.front(), .resent = 0};
    arm_resend_timer();
    refresh_candidates_.insert(request);
    arm_refresh_timer();
  }
  if (!batch_timer_.armed()) {
    batch_timer_.arm(options_.batch_window, [this] { flush(); });
  }
}

void CrashAnnouncer::flush() {
  send(std::exchange(unsent_, {}), send_);
}

void CrashAnnouncer::arm_resend_timer() {
  if (resends_.empty()) {
    return;
  }
  const auto first = std::min_element(
      resends_.begin(), resends_.end(),
      [](const auto& left, const auto& right) { return left.second.due < right.second.due; });
  const Duration wait = std::max(first->second.due - clock_.now(), Duration::zero());
  resend_timer_.arm(wait, [this] { resend(); });
}

void CrashAnnouncer::resend() {
  const MonotonicTime now = clock_.now();
  for (auto next = resends_.begin(); next != resends_.end();) {
    const auto current = next++;
    Resend& resend = current->second;
    if (resend.due > now) {
      continue;
    }
    unsent_.insert(current->first);
    if (++resend.resent == options_.resend_delays.size()) {
      resends_.erase(current);
    } else {
      resend.due = now + options_.resend_delays[resend.resent];
    }
  }
  flush();
  arm_resend_timer();
}

void CrashAnnouncer::arm_refresh_timer() {
  if (!refresh_timer_.armed()) {
    refresh_timer_.arm(options_.refresh_interval, [this] { refresh(); });
  }
}

void CrashAnnouncer::refresh() {
  const MonotonicTime now = clock_.now();
  std::erase_if(refresh_candidates_, [&](const RequestFingerprint& request) {
    const auto report = ledger_.report(request, now);
    return !report || report->last_request_age > options_.refresh_lifetime ||
           ledger_.suspicion_level(request) != SuspicionLevel::kQuarantined;
  });
  std::set<RequestFingerprint> batch;
  auto next = refresh_candidates_.upper_bound(last_refreshed_);
  while (batch.size() < std::min(options_.max_refresh_reports, refresh_candidates_.size())) {
    if (next == refresh_candidates_.end()) {
      next = refresh_candidates_.begin();
    }
    last_refreshed_ = *next;
    batch.insert(*next++);
  }
  send(batch, send_);
  if (!refresh_candidates_.empty()) {
    arm_refresh_timer();
  }
}

void CrashAnnouncer::send_all(const Send& send_to) const {
  std::set<RequestFingerprint> all;
  for (const SuspicionLevel level : {SuspicionLevel::kQuarantined, SuspicionLevel::kSuspected}) {
    for (const RequestFingerprint& request : ledger_.requests(level)) {
      all.insert(request);
    }
  }
  send(all, send_to);
}

void CrashAnnouncer::send(const std::set<RequestFingerprint>& requests, const Send& send_to) const {
  CrashReportBatch batch;
  std::size_t bytes = 0;
  for (const RequestFingerprint& request : requests) {
    auto report = ledger_.report(request, clock_.now());
    if (!report) {
      continue;
    }
    if (bytes + size_of(*report) > kMaxBatchBytes && !batch.reports.empty()) {
      send_to(std::exchange(batch, {}));
      bytes = 0;
    }
    bytes += size_of(*report);
    batch.reports.push_back(std::move(*report));
  }
  if (!batch.reports.empty()) {
    send_to(batch);
  }
}

}  // namespace ochrespring::quarantine
