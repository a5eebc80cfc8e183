#include "quarantine/crash_announcer.h"

#include <algorithm>
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
      options_(std::move(options)),
      send_(std::move(send)),
      gather_timer_(timers),
      repeat_timer_(timers),
      steady_timer_(timers) {}

void CrashAnnouncer::note_change(const RequestFingerprint& request) {
  due_.insert(request);
  if (!options_.repeat_pauses.empty()) {
    repeats_[request] = {.due = clock_.now() + options_.repeat_pauses.front(), .told_again = 0};
    arm_repeat();
    steady_.insert(request);
    arm_steady();
  }
  if (!gather_timer_.armed()) {
    gather_timer_.arm(options_.gather, [this] { flush(); });
  }
}

void CrashAnnouncer::flush() {
  send(std::exchange(due_, {}), send_);
}

void CrashAnnouncer::arm_repeat() {
  if (repeats_.empty()) {
    return;
  }
  const auto first = std::min_element(
      repeats_.begin(), repeats_.end(),
      [](const auto& left, const auto& right) { return left.second.due < right.second.due; });
  const Duration wait = std::max(first->second.due - clock_.now(), Duration::zero());
  repeat_timer_.arm(wait, [this] { repeat(); });
}

void CrashAnnouncer::repeat() {
  const MonotonicTime now = clock_.now();
  for (auto next = repeats_.begin(); next != repeats_.end();) {
    const auto current = next++;
    Repeat& repeat = current->second;
    if (repeat.due > now) {
      continue;
    }
    due_.insert(current->first);
    if (++repeat.told_again == options_.repeat_pauses.size()) {
      repeats_.erase(current);
    } else {
      repeat.due = now + options_.repeat_pauses[repeat.told_again];
    }
  }
  flush();
  arm_repeat();
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
  CrashReportBatch news;
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
