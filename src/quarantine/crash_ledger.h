// Records which requests and prompt parts were running when back ends terminated, and derives which
// are quarantined.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "quarantine/crash_attribution.h"
#include "quarantine/types.h"

namespace ochrespring::quarantine {

/// Thresholds and timing of quarantine.
///
/// A trial sends a quarantined request to one back end, to find out whether it still crashes back
/// ends. Each entry of `trial_delays` allows one trial, so with 3 entries at most 3 sends follow
/// the third termination, for as long as the request is in the ledger.
struct CrashLedgerOptions {
  /// Number of back ends that terminate during a request before it is quarantined.
  std::size_t quarantine_threshold = 3;
  /// Delay from the last termination or trial to the next trial, each used once. The first is short
  /// for requests that were quarantined by coincidence; the last allows time for the back ends to
  /// be fixed.
  std::vector<Duration> trial_delays{std::chrono::seconds(10), std::chrono::seconds(60),
                                     std::chrono::minutes(10)};
  /// As `trial_delays`, for prompt parts. The first is short, because many callers share a part.
  std::vector<Duration> part_trial_delays{std::chrono::seconds(1), std::chrono::seconds(4),
                                          std::chrono::minutes(10)};
  /// Retry-After sent to callers when no trial is left.
  Duration max_retry_after{std::chrono::minutes(10)};
  /// A quarantined request is dropped this long after a caller last sent it or after its last
  /// termination, whichever is later.
  Duration quarantine_ttl{std::chrono::minutes(30)};
  /// A request that is only suspected, or was answered, is dropped this long after its last
  /// termination.
  Duration suspicion_ttl{std::chrono::minutes(10)};
  /// Maximum number of requests and prompt parts in the ledger, about 300 bytes each. When the
  /// ledger is full, the requests with the fewest counted terminations are evicted first.
  std::size_t max_requests = 2048;
};

/// Placeholder for terminations that may have happened before this node's history begins. No back
/// end has this id.
inline const gateway::BackendId kUnknownBackend{"(forgotten)"};

/// How strongly a request is suspected of crashing back ends.
enum class SuspicionLevel : std::uint8_t { kNone, kSuspected, kQuarantined };

/// Records which requests and prompt parts were running when back ends terminated, and derives how
/// strongly each is suspected. Below, "request" stands for either unless parts are named.
///
/// Each termination of a back end counts against all requests that were running there, until they
/// are answered. Which of them caused it is unknown, but an innocent request is soon answered by
/// another back end.
///
/// A termination counts against a request even if another request with more terminations was
/// running there. Otherwise one crashing request hides another: with three crashing requests, up to
/// 23 sends instead of 1 followed the third termination, and no innocent request was kept out of
/// quarantine by it (10 seeds of gateway_node/tests/crashing_request_test.cc).
///
/// Prompt parts are shared by innocent requests, so a part is quarantined only if
/// attribute_terminations() finds that it explains terminations.
///
/// Performs no I/O. Not thread-safe.
class CrashLedger {
 public:
  using Request = gateway::RequestFingerprint;
  using BackendIds = std::set<gateway::BackendId>;

  explicit CrashLedger(CrashLedgerOptions options = {}) : options_(std::move(options)) {}

  /// Returns whether the ledger has no entry.
  bool empty() const { return entries_.empty(); }
  bool contains(const Request& request) const { return entries_.contains(request); }
  std::size_t count(SuspicionLevel level) const;
  /// Returns the requests at the given level.
  std::vector<Request> requests(SuspicionLevel level) const;

  /// Records a termination; returns whether this is a change that other nodes should receive.
  bool note_termination(const Request& request, const ServiceName& service,
                        const BackendTermination& termination, MonotonicTime now);
  /// Merges a report of another node or from the store; returns whether it changed the terminations
  /// or trials.
  bool merge(const CrashReport& report, MonotonicTime now);
  /// Excuses all terminations of the request, because it was answered; returns whether this is a
  /// change that other nodes should receive.
  bool excuse(const Request& request);
  /// Excuses the terminations of a prompt part that happened until `latest`; returns whether this
  /// is a change that other nodes should receive.
  bool excuse_until(const Request& part, MonotonicTime latest);
  /// Derives which parts are quarantined. Called after terminations or quarantined requests have
  /// changed. `answered_lately` tells whether a request with the part was answered in the last
  /// minutes.
  void attribute_parts(const std::function<bool(const Request&)>& answered_lately);
  /// The parts that are quarantined.
  const std::set<Request>& quarantined_parts() const { return quarantined_parts_; }
  void note_request(const Request& request, MonotonicTime now);
  void note_trial(const Request& request, std::uint32_t trials, MonotonicTime now);
  void note_stored(const Request& request, bool stored);
  /// Marks all requests as not stored; returns those that were marked as stored.
  std::vector<Request> clear_stored();
  /// Returns the requests that have a counted termination of `backend` before `started`. A back end
  /// that answers an attempt started then has not terminated.
  std::vector<Request> suspects_for(const gateway::BackendId& backend, MonotonicTime started) const;
  /// Excuses the termination of `backend` for all requests.
  void excuse_backend(const gateway::BackendId& backend);

  /// Returns all back ends with a recorded termination, whether it still counts or not.
  BackendIds terminated_backends() const;
  /// Returns the number of terminations that count against the request.
  std::size_t counted_terminations(const Request& request) const;
  /// Returns whether the request is quarantined or one termination away from it.
  bool should_store(const Request& request) const {
    return counted_terminations(request) + 1 >= options_.quarantine_threshold;
  }
  /// `additional` are back ends that may have terminated during the request but are not in the
  /// ledger yet; they do not count against prompt parts.
  SuspicionLevel suspicion_level(const Request& request, const BackendIds& additional = {}) const;
  /// Returns the time until the next trial, zero if one is due, or none if no trial is left. If the
  /// request has an unknown termination, each observed termination uses up one of the trials,
  /// because it may already have followed the third; at least one trial is allowed in total. For a
  /// prompt part all of them use up one trial together: it is allowed five terminations, of which
  /// two may have been forgotten.
  std::optional<Duration> time_to_trial(const Request& request, MonotonicTime now) const;
  Duration retry_after(const Request& request, MonotonicTime now) const;
  bool stored(const Request& request) const;
  std::uint32_t trials(const Request& request) const;
  std::optional<CrashReport> report(const Request& request, MonotonicTime now) const;

  /// Drops expired requests; returns those that the store may still hold.
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
    std::map<gateway::BackendId, MonotonicTime> counted_backends() const;
    MonotonicTime last_termination_at() const;
    /// Returns whether earlier terminations may be missing.
    bool has_unknown_termination() const;
  };

  const Entry* find(const Request& request) const;
  Entry& entry_of(const Request& request, const ServiceName& service, MonotonicTime now);
  bool add_termination(const Request& request, Entry& entry, const BackendTermination& termination,
                       MonotonicTime now);
  /// Removes one excused termination if the entry has no room for another. Returns whether it has.
  bool make_room(const Request& request, Entry& entry);
  const std::vector<Duration>& trial_delays(const Request& request) const {
    return request.is_prompt_part() ? options_.part_trial_delays : options_.trial_delays;
  }
  std::size_t max_trials(const Request& request, const Entry& entry) const;
  bool is_expired(const Request& request, const Entry& entry, MonotonicTime now) const;
  void erase(std::unordered_map<Request, Entry>::iterator entry);
  /// Removes the request from the index of the back end's suspects.
  void forget_suspect(const gateway::BackendId& backend, const Request& request);
  void evict_if_full();

  CrashLedgerOptions options_;
  std::unordered_map<Request, Entry> entries_;
  std::map<gateway::BackendId, std::set<Request>> by_backend_;
  std::set<Request> quarantined_parts_;
};

}  // namespace ochrespring::quarantine
