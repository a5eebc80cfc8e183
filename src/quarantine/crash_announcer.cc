#include "quarantine/crash_announcer.h"

#include <utility>
#include <vector>

namespace ochrespring::quarantine {

namespace {

using gateway::RequestFingerprint;

/// Bytes of one datagram, by what a report and each of its ends take at most.
constexpr std::size_t kMostBytes = 6000;
constexpr std::size_t kReportBytes = 80;
constexpr std::size_t kEndBytes = 80;

std::size_t size_of(const CrashReport& report) {
  return kReportBytes + kEndBytes * report.ends.size();
}

}  // namespace

CrashAnnouncer::CrashAnnouncer(const Clock& clock, TimerService& timers, const CrashLedger& ledger,
                               CrashAnnouncerOptions options, Send send)
    : clock_(clock),
      ledger_(ledger),
      options_(options),
      send_(std::move(send)),
      gather_timer_(timers),
      repeat_timer_(timers),
      steady_timer_(timers) {}

void CrashAnnouncer::note_change(const RequestFingerprint& request) {
  due_.insert(request);
  if (options_.repeats != 0) {
    repeats_left_[request] = options_.repeats;
    steady_.insert(request);
    arm_steady();
  }
  if (!gather_timer_.armed()) {
    gather_timer_.arm(options_.gather, [this] { flush(); });
  }
}

void CrashAnnouncer::flush() {
  send(std::exchange(due_, {}), send_);
  if (!repeats_left_.empty() && !repeat_timer_.armed()) {
    repeat_timer_.arm(options_.repeat_pause, [this] { repeat(); });
  }
}

void CrashAnnouncer::repeat() {
  for (auto left = repeats_left_.begin(); left != repeats_left_.end();) {
    due_.insert(left->first);
    left = --left->second == 0 ? repeats_left_.erase(left) : std::next(left);
  }
  flush();
}

void CrashAnnouncer::arm_steady() {
  if (!steady_timer_.armed()) {
    steady_timer_.arm(options_.steady_pause, [this] { tell_steadily(); });
  }
}

void CrashAnnouncer::tell_steadily() {
  const MonotonicTime now = clock_.now();
  std::erase_if(steady_, [&](const RequestFingerprint& request) {
    const auto report = ledger_.report(request, now);
    return !report || report->asked_age > options_.steady_life ||
           ledger_.standing(request) != Standing::kQuarantined;
  });
  std::set<RequestFingerprint> turn;
  auto next = steady_.upper_bound(last_steady_);
  while (turn.size() < std::min(options_.most_steady, steady_.size())) {
    if (next == steady_.end()) {
      next = steady_.begin();
    }
    last_steady_ = *next;
    turn.insert(*next++);
  }
  send(turn, send_);
  if (!steady_.empty()) {
    arm_steady();
  }
}

void CrashAnnouncer::tell_all(const Send& send_to) const {
  std::set<RequestFingerprint> all;
  for (const Standing standing : {Standing::kQuarantined, Standing::kSuspected}) {
    for (const RequestFingerprint& request : ledger_.requests(standing)) {
      all.insert(request);
    }
  }
  send(all, send_to);
}

void CrashAnnouncer::send(const std::set<RequestFingerprint>& requests, const Send& send_to) const {
  CrashNews news;
  std::size_t bytes = 0;
  for (const RequestFingerprint& request : requests) {
    auto report = ledger_.report(request, clock_.now());
    if (!report) {
      continue;
    }
    if (bytes + size_of(*report) > kMostBytes && !news.reports.empty()) {
      send_to(std::exchange(news, {}));
      bytes = 0;
    }
    bytes += size_of(*report);
    news.reports.push_back(std::move(*report));
  }
  if (!news.reports.empty()) {
    send_to(news);
  }
}

}  // namespace ochrespring::quarantine
