#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ochrespring::quarantine {

namespace {

/// Servers kept of one request: more tell nothing.
constexpr std::size_t kMostEnds = 16;

}  // namespace

std::size_t CrashLedger::Entry::counted() const {
  return static_cast<std::size_t>(
      std::count_if(ends.begin(), ends.end(), [](const auto& end) { return !end.second.excused; }));
}

MonotonicTime CrashLedger::Entry::last_end() const {
  MonotonicTime last{};
  for (const auto& [server, end] : ends) {
    last = std::max(last, end.at);
  }
  return last;
}

bool CrashLedger::Entry::has_gap() const {
  const auto forgotten = ends.find(kForgottenServer);
  return forgotten != ends.end() && !forgotten->second.excused;
}

const CrashLedger::Entry* CrashLedger::find(const Request& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<CrashLedger::Request> CrashLedger::requests(Standing wanted) const {
  std::vector<Request> found;
  for (const auto& [request, entry] : entries_) {
    if (standing(request) == wanted) {
      found.push_back(request);
    }
  }
  return found;
}

std::size_t CrashLedger::count(Standing wanted) const {
  return requests(wanted).size();
}

CrashLedger::Entry& CrashLedger::entry_of(const Request& request, const ServiceName& service,
                                          MonotonicTime now) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    return found->second;
  }
  make_room();
  Entry& entry = entries_[request];
  entry.service = service;
  entry.asked_at = now;
  return entry;
}

bool CrashLedger::add_end(const Request& request, Entry& entry, const ServerEnd& end,
                          MonotonicTime now) {
  const auto known = entry.ends.find(end.server);
  if (known != entry.ends.end()) {
    const bool news = end.excused && !known->second.excused;
    known->second.excused = known->second.excused || end.excused;
    return news;
  }
  if (entry.ends.size() >= kMostEnds) {
    return false;
  }
  entry.ends[end.server] = {end.seen_by, now - end.age, end.excused};
  by_server_[end.server].insert(request);
  return true;
}

bool CrashLedger::note_end(const Request& request, const ServiceName& service, const ServerEnd& end,
                           MonotonicTime now) {
  return add_end(request, entry_of(request, service, now), end, now);
}

bool CrashLedger::merge(const CrashReport& report, MonotonicTime now) {
  Entry& entry = entry_of(report.request, report.service, now);
  bool news = false;
  for (const ServerEnd& end : report.ends) {
    news = add_end(report.request, entry, end, now) || news;
  }
  if (report.trials > entry.trials) {
    entry.trials = report.trials;
    entry.trial_at = now - report.trial_age;
    news = true;
  }
  entry.asked_at = std::max(entry.asked_at, now - report.asked_age);
  entry.stored = entry.stored || report.stored;
  return news;
}

bool CrashLedger::excuse(const Request& request) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return false;
  }
  bool news = false;
  for (auto& [server, end] : found->second.ends) {
    news = news || !end.excused;
    end.excused = true;
  }
  return news;
}

void CrashLedger::note_asked(const Request& request, MonotonicTime now) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    found->second.asked_at = now;
  }
}

void CrashLedger::note_trial(const Request& request, std::uint32_t trials, MonotonicTime now) {
  const auto found = entries_.find(request);
  if (found != entries_.end() && trials > found->second.trials) {
    found->second.trials = trials;
    found->second.trial_at = now;
  }
}

void CrashLedger::note_stored(const Request& request, bool stored) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    found->second.stored = stored;
  }
}

std::vector<CrashLedger::Request> CrashLedger::held_against(const gateway::BackendId& server,
                                                            MonotonicTime started) const {
  std::vector<Request> held;
  const auto found = by_server_.find(server);
  if (found == by_server_.end()) {
    return held;
  }
  for (const Request& request : found->second) {
    const End& end = entries_.at(request).ends.at(server);
    if (!end.excused && end.at < started) {
      held.push_back(request);
    }
  }
  return held;
}

void CrashLedger::excuse_server(const gateway::BackendId& server) {
  const auto found = by_server_.find(server);
  if (found == by_server_.end()) {
    return;
  }
  for (const Request& request : found->second) {
    entries_.at(request).ends.at(server).excused = true;
  }
}

std::size_t CrashLedger::counted(const Request& request) const {
  const Entry* entry = find(request);
  return entry == nullptr ? 0 : entry->counted();
}

Standing CrashLedger::standing(const Request& request, const Servers& also) const {
  const Entry* entry = find(request);
  std::size_t ends = counted(request);
  for (const gateway::BackendId& server : also) {
    ends += entry == nullptr || !entry->ends.contains(server) ? 1 : 0;
  }
  if (ends == 0) {
    return Standing::kFree;
  }
  return ends < options_.quarantine_after ? Standing::kSuspected : Standing::kQuarantined;
}

std::size_t CrashLedger::most_trials(const Entry& entry) const {
  const std::size_t most = options_.trial_pauses.size();
  if (!entry.has_gap()) {
    return most;
  }
  const std::size_t seen = entry.counted() - 1;
  return seen < most ? most - seen : 1;
}

std::optional<Duration> CrashLedger::until_trial(const Request& request, MonotonicTime now) const {
  const Entry* entry = find(request);
  if (entry == nullptr) {
    // Not told by anybody yet: this node has just seen the last end.
    return options_.trial_pauses.front();
  }
  if (entry->trials >= most_trials(*entry)) {
    return std::nullopt;
  }
  const MonotonicTime due =
      std::max(entry->last_end(), entry->trial_at) + options_.trial_pauses[entry->trials];
  return std::max(due - now, Duration::zero());
}

Duration CrashLedger::retry_after(const Request& request, MonotonicTime now) const {
  return until_trial(request, now).value_or(options_.longest_retry_after);
}

std::vector<CrashLedger::Request> CrashLedger::forget_stored() {
  std::vector<Request> forgotten;
  for (auto& [request, entry] : entries_) {
    if (std::exchange(entry.stored, false)) {
      forgotten.push_back(request);
    }
  }
  return forgotten;
}

bool CrashLedger::stored(const Request& request) const {
  const Entry* entry = find(request);
  return entry != nullptr && entry->stored;
}

std::uint32_t CrashLedger::trials(const Request& request) const {
  const Entry* entry = find(request);
  return entry == nullptr ? 0 : entry->trials;
}

std::optional<CrashReport> CrashLedger::report(const Request& request, MonotonicTime now) const {
  const Entry* entry = find(request);
  if (entry == nullptr) {
    return std::nullopt;
  }
  CrashReport report{.request = request,
                     .service = entry->service,
                     .ends = {},
                     .trials = entry->trials,
                     .trial_age = now - entry->trial_at,
                     .asked_age = now - entry->asked_at,
                     .stored = entry->stored};
  for (const auto& [server, end] : entry->ends) {
    report.ends.push_back({server, end.seen_by, now - end.at, end.excused});
  }
  return report;
}

bool CrashLedger::outdated(const Request& request, const Entry& entry, MonotonicTime now) const {
  if (standing(request) == Standing::kQuarantined) {
    return now - std::max(entry.asked_at, entry.last_end()) > options_.quarantine_life;
  }
  return now - entry.last_end() > options_.suspicion_life;
}

std::vector<CrashLedger::Request> CrashLedger::drop_outdated(MonotonicTime now) {
  std::vector<Request> stored;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    if (outdated(entry->first, entry->second, now)) {
      if (entry->second.stored) {
        stored.push_back(entry->first);
      }
      erase(entry);
    }
    entry = next;
  }
  return stored;
}

void CrashLedger::erase(std::unordered_map<Request, Entry>::iterator entry) {
  for (const auto& [server, end] : entry->second.ends) {
    const auto beside = by_server_.find(server);
    beside->second.erase(entry->first);
    if (beside->second.empty()) {
      by_server_.erase(beside);
    }
  }
  entries_.erase(entry);
}

/// Of a crowd that was beside others' ends, the oldest goes.
void CrashLedger::make_room() {
  if (entries_.size() < options_.most_requests) {
    return;
  }
  const auto weight = [](const Entry& entry) {
    return std::pair(entry.counted(), std::max(entry.asked_at, entry.last_end()));
  };
  erase(
      std::min_element(entries_.begin(), entries_.end(), [&](const auto& left, const auto& right) {
        return weight(left.second) < weight(right.second);
      }));
}

}  // namespace ochrespring::quarantine
