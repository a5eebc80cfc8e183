#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ochrespring::quarantine {

namespace {

/// Maximum number of terminations kept for each request, including excused ones; bounds the size of
/// an entry and of a report. Further terminations replace excused ones or are ignored.
constexpr std::size_t kMaxTerminations = 16;

}  // namespace

std::size_t CrashLedger::Entry::counted_terminations() const {
  return static_cast<std::size_t>(
      std::count_if(terminations.begin(), terminations.end(),
                    [](const auto& termination) { return !termination.second.excused; }));
}

std::map<gateway::BackendId, MonotonicTime> CrashLedger::Entry::counted_backends() const {
  std::map<gateway::BackendId, MonotonicTime> backends;
  for (const auto& [backend, termination] : terminations) {
    if (!termination.excused) {
      backends.emplace(backend, termination.at);
    }
  }
  return backends;
}

MonotonicTime CrashLedger::Entry::last_termination_at() const {
  MonotonicTime last{};
  for (const auto& [backend, termination] : terminations) {
    last = std::max(last, termination.at);
  }
  return last;
}

bool CrashLedger::Entry::has_unknown_termination() const {
  const auto unknown = terminations.find(kUnknownBackend);
  return unknown != terminations.end() && !unknown->second.excused;
}

const CrashLedger::Entry* CrashLedger::find(const Request& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<CrashLedger::Request> CrashLedger::requests(SuspicionLevel level) const {
  std::vector<Request> found;
  for (const auto& [request, entry] : entries_) {
    if (suspicion_level(request) == level) {
      found.push_back(request);
    }
  }
  return found;
}

std::size_t CrashLedger::count(SuspicionLevel level) const {
  return requests(level).size();
}

CrashLedger::Entry& CrashLedger::entry_of(const Request& request, const ServiceName& service,
                                          MonotonicTime now) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    return found->second;
  }
  evict_if_full();
  Entry& entry = entries_[request];
  entry.service = service;
  entry.last_request_at = now;
  return entry;
}

bool CrashLedger::add_termination(const Request& request, Entry& entry,
                                  const BackendTermination& termination, MonotonicTime now) {
  const auto known = entry.terminations.find(termination.backend);
  if (known != entry.terminations.end()) {
    const bool changed = termination.excused && !known->second.excused;
    known->second.excused = known->second.excused || termination.excused;
    return changed;
  }
  if (!make_room(request, entry)) {
    return false;
  }
  entry.terminations[termination.backend] = {termination.observer, now - termination.age,
                                             termination.excused};
  by_backend_[termination.backend].insert(request);
  return true;
}

bool CrashLedger::make_room(const Request& request, Entry& entry) {
  if (entry.terminations.size() < kMaxTerminations) {
    return true;
  }
  const auto is_older = [](const auto& left, const auto& right) {
    return std::pair(!left.second.excused, left.second.at) <
           std::pair(!right.second.excused, right.second.at);
  };
  const auto oldest =
      std::min_element(entry.terminations.begin(), entry.terminations.end(), is_older);
  if (!oldest->second.excused) {
    return false;
  }
  forget_suspect(oldest->first, request);
  entry.terminations.erase(oldest);
  return true;
}

bool CrashLedger::note_termination(const Request& request, const ServiceName& service,
                                   const BackendTermination& termination, MonotonicTime now) {
  return add_termination(request, entry_of(request, service, now), termination, now);
}

bool CrashLedger::merge(const CrashReport& report, MonotonicTime now) {
  Entry& entry = entry_of(report.request, report.service, now);
  bool changed = false;
  for (const BackendTermination& termination : report.terminations) {
    changed = add_termination(report.request, entry, termination, now) || changed;
  }
  if (report.trials > entry.trials) {
    entry.trials = report.trials;
    entry.trial_at = now - report.trial_age;
    changed = true;
  }
  entry.last_request_at = std::max(entry.last_request_at, now - report.last_request_age);
  entry.stored = entry.stored || report.stored;
  return changed;
}

bool CrashLedger::excuse(const Request& request) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return false;
  }
  bool changed = false;
  for (auto& [backend, termination] : found->second.terminations) {
    changed = changed || !termination.excused;
    termination.excused = true;
  }
  return changed;
}

bool CrashLedger::excuse_until(const Request& part, MonotonicTime latest) {
  const auto found = entries_.find(part);
  if (found == entries_.end()) {
    return false;
  }
  bool changed = false;
  for (auto& [backend, termination] : found->second.terminations) {
    if (!termination.excused && termination.at <= latest) {
      termination.excused = changed = true;
    }
  }
  return changed;
}

void CrashLedger::attribute_parts(const std::function<bool(const Request&)>& answered_lately) {
  std::vector<PartSuspect> suspects;
  std::vector<RequestTerminations> quarantined_requests;
  for (const auto& [request, entry] : entries_) {
    if (entry.counted_terminations() < options_.quarantine_threshold) {
      continue;
    }
    if (request.is_prompt_part()) {
      suspects.push_back({request, entry.counted_backends(), answered_lately(request)});
    } else {
      RequestTerminations& terminations = quarantined_requests.emplace_back();
      for (const auto& [backend, at] : entry.counted_backends()) {
        terminations.insert(backend);
      }
      // A part's unknown termination may have happened during another request.
      terminations.erase(kUnknownBackend);
    }
  }
  quarantined_parts_ = attribute_terminations(suspects, quarantined_requests,
                                              {.min_terminations = options_.quarantine_threshold});
}

void CrashLedger::note_request(const Request& request, MonotonicTime now) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    found->second.last_request_at = now;
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

std::vector<CrashLedger::Request> CrashLedger::suspects_for(const gateway::BackendId& backend,
                                                            MonotonicTime started) const {
  std::vector<Request> suspects;
  const auto found = by_backend_.find(backend);
  if (found == by_backend_.end()) {
    return suspects;
  }
  for (const Request& request : found->second) {
    const Termination& termination = entries_.at(request).terminations.at(backend);
    if (!termination.excused && termination.at < started) {
      suspects.push_back(request);
    }
  }
  return suspects;
}

void CrashLedger::excuse_backend(const gateway::BackendId& backend) {
  const auto found = by_backend_.find(backend);
  if (found == by_backend_.end()) {
    return;
  }
  for (const Request& request : found->second) {
    entries_.at(request).terminations.at(backend).excused = true;
  }
}

CrashLedger::BackendIds CrashLedger::terminated_backends() const {
  BackendIds backends;
  for (const auto& [backend, suspects] : by_backend_) {
    backends.insert(backends.end(), backend);
  }
  return backends;
}

std::size_t CrashLedger::counted_terminations(const Request& request) const {
  const Entry* entry = find(request);
  return entry == nullptr ? 0 : entry->counted_terminations();
}

SuspicionLevel CrashLedger::suspicion_level(const Request& request,
                                            const BackendIds& additional) const {
  const Entry* entry = find(request);
  std::size_t terminations = counted_terminations(request);
  if (request.is_prompt_part()) {
    return quarantined_parts_.contains(request) ? SuspicionLevel::kQuarantined
           : terminations != 0                  ? SuspicionLevel::kSuspected
                                                : SuspicionLevel::kNone;
  }
  for (const gateway::BackendId& backend : additional) {
    terminations += entry == nullptr || !entry->terminations.contains(backend) ? 1 : 0;
  }
  if (terminations == 0) {
    return SuspicionLevel::kNone;
  }
  return terminations < options_.quarantine_threshold ? SuspicionLevel::kSuspected
                                                      : SuspicionLevel::kQuarantined;
}

std::size_t CrashLedger::max_trials(const Request& request, const Entry& entry) const {
  const std::size_t total = trial_delays(request).size();
  if (!entry.has_unknown_termination()) {
    return total;
  }
  if (request.is_prompt_part()) {
    return total - 1;
  }
  const std::size_t observed = entry.counted_terminations() - 1;
  return observed < total ? total - observed : 1;
}

std::optional<Duration> CrashLedger::time_to_trial(const Request& request,
                                                   MonotonicTime now) const {
  const Entry* entry = find(request);
  if (entry == nullptr) {
    // No termination is in the ledger yet: this node is still investigating the last one.
    return trial_delays(request).front();
  }
  if (entry->trials >= max_trials(request, *entry)) {
    return std::nullopt;
  }
  const MonotonicTime due = std::max(entry->last_termination_at(), entry->trial_at) +
                            trial_delays(request)[entry->trials];
  return std::max(due - now, Duration::zero());
}

Duration CrashLedger::retry_after(const Request& request, MonotonicTime now) const {
  return time_to_trial(request, now).value_or(options_.max_retry_after);
}

std::vector<CrashLedger::Request> CrashLedger::clear_stored() {
  std::vector<Request> cleared;
  for (auto& [request, entry] : entries_) {
    if (std::exchange(entry.stored, false)) {
      cleared.push_back(request);
    }
  }
  return cleared;
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
                     .terminations = {},
                     .trials = entry->trials,
                     .trial_age = now - entry->trial_at,
                     .last_request_age = now - entry->last_request_at,
                     .stored = entry->stored};
  for (const auto& [backend, termination] : entry->terminations) {
    report.terminations.push_back(
        {backend, termination.observer, now - termination.at, termination.excused});
  }
  return report;
}

bool CrashLedger::is_expired(const Request& request, const Entry& entry, MonotonicTime now) const {
  if (suspicion_level(request) == SuspicionLevel::kQuarantined) {
    return now - std::max(entry.last_request_at, entry.last_termination_at()) >
           options_.quarantine_ttl;
  }
  return now - entry.last_termination_at() > options_.suspicion_ttl;
}

std::vector<CrashLedger::Request> CrashLedger::drop_expired(MonotonicTime now) {
  std::vector<Request> stored;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    if (is_expired(entry->first, entry->second, now)) {
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
  for (const auto& [backend, termination] : entry->second.terminations) {
    forget_suspect(backend, entry->first);
  }
  quarantined_parts_.erase(entry->first);
  entries_.erase(entry);
}

void CrashLedger::forget_suspect(const gateway::BackendId& backend, const Request& request) {
  const auto suspects = by_backend_.find(backend);
  suspects->second.erase(request);
  if (suspects->second.empty()) {
    by_backend_.erase(suspects);
  }
}

/// Evicts the request with the fewest counted terminations, and of several the least recently
/// active.
void CrashLedger::evict_if_full() {
  if (entries_.size() < options_.max_requests) {
    return;
  }
  const auto eviction_rank = [](const Entry& entry) {
    return std::pair(entry.counted_terminations(),
                     std::max(entry.last_request_at, entry.last_termination_at()));
  };
  erase(
      std::min_element(entries_.begin(), entries_.end(), [&](const auto& left, const auto& right) {
        return eviction_rank(left.second) < eviction_rank(right.second);
      }));
}

}  // namespace ochrespring::quarantine
