// Which requests had backends when these ended, and what follows from it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "quarantine/types.h"

namespace ochrespring::quarantine {

/// When a request is kept from backends, and when it is tried again. Trials and terminations
/// together bound the sends after the third termination: with 3 trials no more than 3 of them,
/// whatever time passes.
struct CrashLedgerOptions {
  /// BackendIds that termination under a request before it is quarantined.
  std::size_t quarantine_threshold = 3;
  /// From the last termination or trial to the next trial, each of them once. The first is short
  /// for requests that came to be quarantined by chance; the last waits for backends that were
  /// mended.
  std::vector<Duration> trial_delays{std::chrono::seconds(10), std::chrono::seconds(60),
                                     std::chrono::minutes(10)};
  /// PendingReport to callers once no trial is left.
  Duration max_retry_after{std::chrono::minutes(10)};
  /// A quarantined request that nobody has sent for this long is forgotten.
  Duration quarantine_ttl{std::chrono::minutes(30)};
  /// So is, after its last termination, one that is only suspected or was answered.
  Duration suspicion_ttl{std::chrono::minutes(10)};
  /// Some 300 bytes each. Of more, those with the fewest terminations go first.
  std::size_t max_requests = 2048;
};

/// Stands for terminations that nobody remembers, of backends that nobody can name: no backend has
/// this id.
inline const gateway::BackendId kUnknownBackend{"(forgotten)"};

/// How a request stands.
enum class SuspicionLevel : std::uint8_t { kNone, kSuspected, kQuarantined };

/// Each backend's termination counts against all requests that it had, until they are answered:
/// which of them ended it nobody can tell, but one that is innocent is soon answered elsewhere. Not
/// to count terminations that a request with more of them explains was measured and dropped: of
/// three guilty requests at once one covered the other, and up to 23 sends followed the third
/// termination in place of 1, while no innocent request was spared (tests/crashing_request_test.cc,
/// 10 seeds). Pure; one loop.
class CrashLedger {
 public:
  using Request = gateway::RequestFingerprint;
  using BackendIds = std::set<gateway::BackendId>;

  explicit CrashLedger(CrashLedgerOptions options = {}) : options_(std::move(options)) {}

  /// Nothing is held against any request.
  bool empty() const { return entries_.empty(); }
  bool contains(const Request& request) const { return entries_.contains(request); }
  std::size_t count(SuspicionLevel level) const;
  /// Requests of a suspicion_level.
  std::vector<Request> requests(SuspicionLevel level) const;

  /// These return whether anything is known that was not before.
  bool note_termination(const Request& request, const ServiceName& service,
                        const BackendTermination& termination, MonotonicTime now);
  bool merge(const CrashReport& report, MonotonicTime now);
  /// The request was answered, or has been released.
  bool excuse(const Request& request);
  void note_request(const Request& request, MonotonicTime now);
  void note_trial(const Request& request, std::uint32_t trials, MonotonicTime now);
  void note_stored(const Request& request, bool stored);
  /// None is known to be stored any more; returns those that were.
  std::vector<Request> clear_stored();
  /// Requests whose counted terminations include a backend that ended before `started`; a backend
  /// that has answered an attempt started then lives.
  std::vector<Request> suspects_for(const gateway::BackendId& backend, MonotonicTime started) const;
  /// That backend's termination counts against nobody.
  void excuse_backend(const gateway::BackendId& backend);

  /// BackendIds that count against the request.
  std::size_t counted_terminations(const Request& request) const;
  /// Whether so many count that one more termination brings it into quarantine, or that it is
  /// there.
  bool should_store(const Request& request) const {
    return counted_terminations(request) + 1 >= options_.quarantine_threshold;
  }
  /// `additional` are backends that may have ended under the request, as far as this node sees.
  SuspicionLevel suspicion_level(const Request& request, const BackendIds& additional = {}) const;
  /// Until the next trial, zero if one is due; none: no trial is left. Where terminations may have
  /// been forgotten, each that was counted may have come after the third: fewer trials are left,
  /// one at least.
  std::optional<Duration> time_to_trial(const Request& request, MonotonicTime now) const;
  Duration retry_after(const Request& request, MonotonicTime now) const;
  bool stored(const Request& request) const;
  std::uint32_t trials(const Request& request) const;
  std::optional<CrashReport> report(const Request& request, MonotonicTime now) const;

  /// Forgets what is too old; returns what the store may still have of it.
  std::vector<Request> drop_expired(MonotonicTime now);

 private:
  struct Termination {
    NodeId observer;
    MonotonicTime at{};
    bool excused = false;
  };
  struct Entry {
    ServiceName service;
    std::map<gateway::BackendId, Termination> terminations;
    std::uint32_t trials = 0;
    MonotonicTime trial_at{};
    MonotonicTime last_request_at{};
    bool stored = false;

    std::size_t counted_terminations() const;
    MonotonicTime last_termination_at() const;
    /// Ends may have been forgotten.
    bool has_unknown_termination() const;
  };

  const Entry* find(const Request& request) const;
  Entry& entry_of(const Request& request, const ServiceName& service, MonotonicTime now);
  bool add_termination(const Request& request, Entry& entry, const BackendTermination& termination,
                       MonotonicTime now);
  std::size_t max_trials(const Entry& entry) const;
  bool is_expired(const Request& request, const Entry& entry, MonotonicTime now) const;
  void erase(std::unordered_map<Request, Entry>::iterator entry);
  void evict_if_full();

  CrashLedgerOptions options_;
  std::unordered_map<Request, Entry> entries_;
  std::map<gateway::BackendId, std::set<Request>> by_backend_;
};

}  // namespace ochrespring::quarantine
