// What this node knows about the load and health of each back end, from its own requests, the load
// reports in responses, and how attempts ended. Does no I/O; used from one event loop.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "gateway/peer_view.h"
#include "gateway/prompt.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Load that a back end reports in a response header.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /// Current duration of work in percent of normal: at 250 it takes 2.5 times as long.
  std::uint32_t pace_percent = 100;
};

/// Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PACE`.
std::optional<ReportedLoad> parse_load(std::string_view text);

/// Factor by which work took longer than normal at the last report, and the weight of that report,
/// 0 to 1, which decreases with its age.
struct ReportedPace {
  double factor = 1;
  double weight = 0;
};

/// Outcome of an attempt, as far as it affects the health of the back end.
enum class AttemptOutcome : std::uint8_t {
  kSucceeded,
  kRefused,      ///< The back end answered that it did not run the request.
  kFailed,       ///< Broken connection, malformed response, error response, or timeout.
  kUnreachable,  ///< No connection could be made.
  kNotSent,      ///< Withdrawn before its first byte was sent; no evidence about the back end.
  kReplaced,     ///< Another back end answers at its address: this one has terminated.
  kAbandoned,    ///< Ended by the gateway or the caller; no evidence about the back end.
};

/// Load and health of one back end, as this node knows them.
class BackendLoad {
 public:
  /// Records the start of an attempt that has to prefill `prefill_tokens`.
  void begin(std::uint64_t prefill_tokens);
  /// Prefill of these tokens is over: the first event arrived, or the attempt ended.
  void note_prefilled(std::uint64_t prefill_tokens);
  /// Records the end of an attempt. If its prefill is still pending, note_prefilled() has to be
  /// called too.
  void end(AttemptOutcome outcome, MonotonicTime now);
  /// The back end has stopped acknowledging what is sent to it; ejects it for a while.
  void note_unresponsive(MonotonicTime now);
  /// What made it seem unresponsive was a cut link of this node; ends the ejection.
  void end_ejection() {
    unreachable_in_row_ = 0;
    ejected_until_ = {};
  }
  void note_report(const ReportedLoad& load, MonotonicTime now);

  /// Estimated number of requests of other nodes, from the last load report; decreases with the age
  /// of the report.
  double reported_others(MonotonicTime now) const;
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint64_t pending_prefill_tokens() const { return pending_prefill_tokens_; }
  double reported_waiting(MonotonicTime now) const;
  /// Factor by which work takes longer than normal by the last report; approaches 1 with its age.
  double slowness(MonotonicTime now) const;
  ReportedPace pace(MonotonicTime now) const;
  /// Share of recent attempts that failed, 0 to 1; decays over time.
  double failure_share(MonotonicTime now) const;
  /// Adds attempts of other nodes, `failed` of `ended` without success; they count like this node's
  /// own.
  void note_peer_outcomes(std::uint32_t ended, std::uint32_t failed, MonotonicTime now);
  /// Share of recent requests that the back end refused, 0 to 1; decays over time. At least
  /// kPeerBackoffRefusalShare during a backoff period that the back end has requested from another
  /// node.
  double refusal_share(MonotonicTime now) const;
  /// Whether the back end refuses most of this node's requests; it is then used only if there is no
  /// alternative.
  bool mostly_refuses(MonotonicTime now) const {
    return own_refusal_share(now) >= kMaxRefusalShare;
  }
  /// The back end has requested a backoff from another node, until `until`.
  void note_peer_backoff(MonotonicTime until) {
    peer_backoff_until_ = std::max(peer_backoff_until_, until);
  }
  MonotonicTime peer_backoff_until() const { return peer_backoff_until_; }
  /// Another node reports that the back end is unresponsive. Ignored if the back end has just
  /// answered this node, since the cause may be the other node's network link.
  void note_peer_unresponsive(MonotonicTime now);
  /// Whether the back end is ejected: used only if there is no alternative.
  bool ejected(MonotonicTime now) const { return now < ejected_until_; }
  /// Whether another back end answers at its address: this one has terminated, and requests for it
  /// cannot succeed there.
  bool replaced(MonotonicTime now) const { return now < replaced_until_; }

  /// Records that a prompt part is in the back end's cache; returns whether it was not recorded
  /// before.
  bool note_cached(std::uint64_t part_key, MonotonicTime now);
  bool holds(std::uint64_t part_key, MonotonicTime now) const;
  /// Removes a part that was first sent to the back end at `first_used` or later.
  void forget_cached(std::uint64_t part_key, MonotonicTime first_used);
  /// Time of the part's last use, if its prefill is certainly over and the part is assumed to be
  /// still cached, so that other engines may fetch it; otherwise none.
  std::optional<MonotonicTime> ready_part(std::uint64_t part_key, MonotonicTime now) const;

  /// Keys of all parts for which holds() is true.
  std::vector<std::uint64_t> cached_part_keys(MonotonicTime now) const;
  std::size_t cached_parts() const { return cached_.size(); }

 private:
  static constexpr std::size_t kMinPruneSize = 1024;
  static constexpr double kPeerBackoffRefusalShare = 0.5;
  static constexpr double kMaxRefusalShare = 0.5;

  struct CachedPart {
    MonotonicTime first_used{};
    MonotonicTime last_used{};
    std::uint64_t used_at_note = 0;  ///< `parts_noted_` at its last use.
  };

  /// Whether the part is assumed to be still cached: its age is below `cache_time`, or few parts
  /// have been prefilled there since its last use.
  bool is_probably_cached(const CachedPart& part, Duration cache_time, MonotonicTime now) const;
  double own_refusal_share(MonotonicTime now) const;
  void decay(MonotonicTime now);
  void count_outcomes(double ended, double failed);

  std::uint32_t in_flight_ = 0;
  std::uint64_t pending_prefill_tokens_ = 0;
  ReportedLoad reported_;
  std::uint32_t own_at_report_ = 0;
  std::optional<MonotonicTime> reported_at_;
  double failures_ = 0;  ///< Decaying counts.
  double attempts_ = 0;
  double refusals_ = 0;  ///< Not counted as attempts, since the back end is healthy.
  MonotonicTime decayed_at_{};
  MonotonicTime peer_backoff_until_{};
  std::uint32_t unreachable_in_row_ = 0;
  MonotonicTime ejected_until_{};
  MonotonicTime replaced_until_{};
  std::optional<MonotonicTime> answered_at_;
  std::unordered_map<std::uint64_t, CachedPart> cached_;  ///< By part key; old entries are pruned.
  std::size_t prune_cached_at_ = kMinPruneSize;           ///< Size that triggers pruning.
  std::uint64_t parts_noted_ = 0;                         ///< Total over time.
};

/// Load and health of all back ends that one node knows.
class LoadTable {
 public:
  /// Returns the load of a back end; adds an idle entry if there is none.
  BackendLoad& find_or_create(const BackendId& id) { return loads_[id]; }
  const BackendLoad* find(const BackendId& id) const;
  const std::map<BackendId, BackendLoad>& all() const { return loads_; }
  void forget(const BackendId& id) { loads_.erase(id); }

  // begin(), note_prefilled(), end(), end_ejection(), note_report() and note_unresponsive() update
  // the back end's BackendLoad. All but begin() ignore a back end that is not in the table, such as
  // one removed while a request was running.

  /// Calls the callback of on_change().
  void begin(const BackendId& id, std::uint64_t prefill_tokens);
  /// Calls the callback of on_change(), unless `prefill_tokens` is zero.
  void note_prefilled(const BackendId& id, std::uint64_t prefill_tokens);
  /// Calls the callback of on_change() and, depending on the outcome, those of on_end() and
  /// on_unresponsive().
  void end(const BackendId& id, AttemptOutcome outcome, MonotonicTime now);
  /// Calls no callback.
  void note_report(const BackendId& id, const ReportedLoad& load, MonotonicTime now);
  /// Calls the callback of on_unresponsive().
  void note_unresponsive(const BackendId& id, MonotonicTime now);
  /// Calls no callback.
  void end_ejection(const BackendId& id);
  /// Sets the callback for a back end that has become unresponsive, unreachable or replaced.
  void on_unresponsive(std::function<void(const BackendId&)> callback) {
    unresponsive_callback_ = std::move(callback);
  }

  /// Records the shared parts of a prompt that a back end prefills, as note_parts() does.
  void note_prompt(const BackendId& id, const Prompt& prompt, MonotonicTime now);
  /// The back end did not prefill a prompt that was sent to it at `sent`: removes its parts, except
  /// those recorded before.
  void forget_prompt(const BackendId& id, const Prompt& prompt, MonotonicTime sent);
  /// Records one part that a back end has cached. Calls no callback, so that a part which another
  /// node reports is not announced again.
  void note_cached(const BackendId& id, std::uint64_t part_key, MonotonicTime now);
  /// Back ends that are assumed to have a part cached: all if there are at max_count `max_count`,
  /// otherwise a random selection of `max_count`.
  std::vector<BackendId> holders(std::uint64_t part_key, std::size_t max_count, MonotonicTime now,
                                 RandomSource& random) const;
  /// Records cached parts by their keys and calls the callback of on_parts_cached().
  void note_parts(const BackendId& id, const std::vector<std::uint64_t>& keys, MonotonicTime now);
  /// Sets the callback for parts that a back end prefills or is found to have cached.
  void on_parts_cached(
      std::function<void(const BackendId&, const std::vector<std::uint64_t>&)> callback) {
    parts_cached_callback_ = std::move(callback);
  }

  /// Sets the callback for attempts that ended with `kSucceeded` or `kFailed`.
  void on_end(std::function<void(const BackendId&, bool failed)> callback) {
    attempt_ended_callback_ = std::move(callback);
  }
  /// Sets the callback for changes of this node's own workload at a back end.
  void on_change(std::function<void(const BackendId&)> callback) {
    workload_changed_callback_ = std::move(callback);
  }
  /// Source of the workload of other nodes; null: there is none.
  void set_peers(const PeerView* peers) { peers_ = peers; }
  /// This node's own workload at a back end.
  EngineWorkload own(const BackendId& id) const;
  /// Workload of other nodes at a back end, as they report it.
  EngineWorkload others(const BackendId& id, MonotonicTime now) const;

 private:
  static constexpr std::size_t kMinIndexPruneSize = 4096;
  /// Entries of one part that are checked; a more common part is cached by most engines.
  static constexpr std::size_t kMaxHoldersTried = 64;

  void changed(const BackendId& id) const;
  BackendLoad* known(const BackendId& id);
  void index_part(const BackendId& id, std::uint64_t part_key, MonotonicTime now);

  std::map<BackendId, BackendLoad> loads_;
  /// Back ends by part key; may contain duplicates and back ends that have evicted the part.
  std::unordered_map<std::uint64_t, std::vector<BackendId>> holders_;
  std::size_t holder_entries_ = 0;
  /// Number of entries that triggers a rebuild of the index.
  std::size_t prune_holders_at_ = kMinIndexPruneSize;
  std::function<void(const BackendId&)> workload_changed_callback_;
  std::function<void(const BackendId&)> unresponsive_callback_;
  std::function<void(const BackendId&, bool)> attempt_ended_callback_;
  std::function<void(const BackendId&, const std::vector<std::uint64_t>&)> parts_cached_callback_;
  const PeerView* peers_ = nullptr;
};

}  // namespace ochrespring::gateway
