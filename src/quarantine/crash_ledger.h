// Which requests had servers when these ended, and what follows from it.
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

/// When a request is kept from servers, and when it is tried again. Trials and ends together bound
/// the sends after the third end: with 3 trials no more than 3 of them, whatever time passes.
struct CrashLedgerOptions {
  /// Servers that end under a request before it is quarantined.
  std::size_t quarantine_after = 3;
  /// From the last end or trial to the next trial, each of them once. The first is short for
  /// requests that came to be quarantined by chance; the last waits for servers that were mended.
  std::vector<Duration> trial_pauses{std::chrono::seconds(10), std::chrono::seconds(60),
                                     std::chrono::minutes(10)};
  /// Told to callers once no trial is left.
  Duration longest_retry_after{std::chrono::minutes(10)};
  /// A quarantined request that nobody has sent for this long is forgotten.
  Duration quarantine_life{std::chrono::minutes(30)};
  /// So is, after its last end, one that is only suspected or was answered.
  Duration suspicion_life{std::chrono::minutes(10)};
  /// Some 300 bytes each. Of more, those with the fewest ends go first.
  std::size_t most_requests = 2048;
};

/// Stands for ends that nobody remembers, of servers that nobody can name: no server has this id.
inline const gateway::BackendId kForgottenServer{"(forgotten)"};

/// How a request stands.
enum class Standing : std::uint8_t { kFree, kSuspected, kQuarantined };

/// Each server's end counts against all requests that it had, until they are answered: which of
/// them ended it nobody can tell, but one that is innocent is soon answered elsewhere. Not to count
/// ends that a request with more of them explains was measured and dropped: of three guilty
/// requests at once one covered the other, and up to 23 sends followed the third end in place of 1,
/// while no innocent request was spared (tests/crashing_request_test.cc, 10 seeds). Pure; one loop.
class CrashLedger {
 public:
  using Request = gateway::RequestFingerprint;
  using Servers = std::set<gateway::BackendId>;

  explicit CrashLedger(CrashLedgerOptions options = {}) : options_(std::move(options)) {}

  /// Nothing is held against any request.
  bool empty() const { return entries_.empty(); }
  bool knows(const Request& request) const { return entries_.contains(request); }
  std::size_t count(Standing standing) const;
  /// Requests of a standing.
  std::vector<Request> requests(Standing standing) const;

  /// These return whether anything is known that was not before.
  bool note_end(const Request& request, const ServiceName& service, const ServerEnd& end,
                MonotonicTime now);
  bool merge(const CrashReport& report, MonotonicTime now);
  /// The request was answered, or has been released.
  bool excuse(const Request& request);
  void note_asked(const Request& request, MonotonicTime now);
  void note_trial(const Request& request, std::uint32_t trials, MonotonicTime now);
  void note_stored(const Request& request, bool stored);
  /// None is known to be stored any more; returns those that were.
  std::vector<Request> forget_stored();
  /// Requests whose counted ends include a server that ended before `started`; a server that has
  /// answered an attempt started then lives.
  std::vector<Request> held_against(const gateway::BackendId& server, MonotonicTime started) const;
  /// That server's end counts against nobody.
  void excuse_server(const gateway::BackendId& server);

  /// Servers that count against the request.
  std::size_t counted(const Request& request) const;
  /// Whether so many count that one more end brings it into quarantine, or that it is there.
  bool worth_storing(const Request& request) const {
    return counted(request) + 1 >= options_.quarantine_after;
  }
  /// `also` are servers that may have ended under the request, as far as this node sees.
  Standing standing(const Request& request, const Servers& also = {}) const;
  /// Until the next trial, zero if one is due; none: no trial is left. Where ends may have been
  /// forgotten, each that was counted may have come after the third: fewer trials are left, one at
  /// least.
  std::optional<Duration> until_trial(const Request& request, MonotonicTime now) const;
  Duration retry_after(const Request& request, MonotonicTime now) const;
  bool stored(const Request& request) const;
  std::uint32_t trials(const Request& request) const;
  std::optional<CrashReport> report(const Request& request, MonotonicTime now) const;

  /// Forgets what is too old; returns what the store may still have of it.
  std::vector<Request> drop_outdated(MonotonicTime now);

 private:
  struct End {
    NodeId seen_by;
    MonotonicTime at{};
    bool excused = false;
  };
  struct Entry {
    ServiceName service;
    std::map<gateway::BackendId, End> ends;
    std::uint32_t trials = 0;
    MonotonicTime trial_at{};
    MonotonicTime asked_at{};
    bool stored = false;

    std::size_t counted() const;
    MonotonicTime last_end() const;
    /// Ends may have been forgotten.
    bool has_gap() const;
  };

  const Entry* find(const Request& request) const;
  Entry& entry_of(const Request& request, const ServiceName& service, MonotonicTime now);
  bool add_end(const Request& request, Entry& entry, const ServerEnd& end, MonotonicTime now);
  std::size_t most_trials(const Entry& entry) const;
  bool outdated(const Request& request, const Entry& entry, MonotonicTime now) const;
  void erase(std::unordered_map<Request, Entry>::iterator entry);
  void make_room();

  CrashLedgerOptions options_;
  std::unordered_map<Request, Entry> entries_;
  std::map<gateway::BackendId, std::set<Request>> by_server_;
};

}  // namespace ochrespring::quarantine
