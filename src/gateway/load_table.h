// What this node knows of each back end's load and health: its own requests, what answers told, and
// how they ended. Pure; one loop.
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

/// Load as a back end told it on an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  std::uint32_t pace_percent = 100;  ///< How long work takes now; 100: as usual.
};

/// Reads `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PACE`.
std::optional<ReportedLoad> parse_load(std::string_view text);

/// How many times as long as usual work took at the last report, and how much that still says, 0 to
/// 1.
struct ReportedPace {
  double factor = 1;
  double weight = 0;
};

/// How an attempt ended, as far as the back end's health goes.
enum class AttemptOutcome : std::uint8_t {
  kGood,
  kRefused,      ///< Said itself that it did not run the request.
  kFailed,       ///< Broke off, answered garbage or with a failure, or was silent for too long.
  kUnreachable,  ///< No connection.
  kNotSent,      ///< Kept back before its first byte left: says nothing.
  kReplaced,     ///< Another back end answers at its address: it has ended.
  kAbandoned,    ///< Ended by us or the caller; tells nothing.
};

/// One back end as this node sees it.
class BackendLoad {
 public:
  void begin(std::uint64_t unread_tokens);
  /// The prompt has been read: the first event came, or the attempt has ended.
  void note_prefilled(std::uint64_t unread_tokens);
  void end(AttemptOutcome verdict, MonotonicTime now);
  /// The back end has stopped to acknowledge what is sent to it: it is left alone for a while.
  void note_silence(MonotonicTime now);
  void note_report(const ReportedLoad& load, MonotonicTime now);

  /// Requests of others at the last report, fading with its age.
  double reported_others(MonotonicTime now) const;
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint64_t unread_tokens() const { return unread_tokens_; }
  double reported_waiting(MonotonicTime now) const;
  /// How many times as long as usual work takes, by the last report, fading to 1 with its age.
  double slowness(MonotonicTime now) const;
  ReportedPace pace(MonotonicTime now) const;
  /// Share of recent attempts that failed, fading with time, 0 to 1.
  double failure_share(MonotonicTime now) const;
  /// Other nodes' attempts ended, so many of them in failure; counted like this node's own.
  void note_peer_outcomes(std::uint32_t ended, std::uint32_t failed, MonotonicTime now);
  /// Share of recent requests that the back end turned away, fading with time, 0 to 1; at least
  /// kToldPauseShare while another node has been asked to send it nothing.
  double refusal_share(MonotonicTime now) const;
  /// Whether this node's requests are mostly turned away there: taken only if there is no other.
  bool mostly_refuses(MonotonicTime now) const { return own_refusal_share(now) >= kMostRefusals; }
  /// The back end has asked another node to send it nothing until then.
  void note_peer_backoff(MonotonicTime until) {
    told_pause_until_ = std::max(told_pause_until_, until);
  }
  MonotonicTime peer_backoff_until() const { return told_pause_until_; }
  /// Another node says that the back end is silent. Believed unless it has just answered this one:
  /// it may be the other's own link.
  void note_peer_unresponsive(MonotonicTime now);
  /// Whether the back end is left alone for now.
  bool ejected(MonotonicTime now) const { return now < ejected_until_; }
  /// Whether another back end has its address: it has ended, and what is sent there works for
  /// nobody.
  bool replaced(MonotonicTime now) const { return now < replaced_until_; }

  /// Remembers that a prompt part is in the back end's cache; returns whether that is new.
  bool note_cached(std::uint64_t part_key, MonotonicTime now);
  bool holds(std::uint64_t part_key, MonotonicTime now) const;
  /// Forgets a part that was first sent to the back end at `first_used` or later.
  void forget_cached(std::uint64_t part_key, MonotonicTime first_used);
  /// When the part was last used, if the back end has surely read it by now and is believed to keep
  /// it still: others may fetch it there.
  std::optional<MonotonicTime> ready_part(std::uint64_t part_key, MonotonicTime now) const;

  /// All that `holds` now.
  std::vector<std::uint64_t> cached_part_keys(MonotonicTime now) const;
  std::size_t cached_parts() const { return cached_.size(); }

 private:
  static constexpr std::size_t kLeastPrune = 1024;
  static constexpr double kToldPauseShare = 0.5;
  static constexpr double kMostRefusals = 0.5;

  struct CachedPart {
    MonotonicTime first_used{};
    MonotonicTime last_used{};
    std::uint64_t used_at_note = 0;  ///< `parts_noted_` at its last use.
  };

  /// Whether the part is believed to be kept, by its age or because little was read there since.
  bool believed(const CachedPart& part, Duration belief, MonotonicTime now) const;
  double own_refusal_share(MonotonicTime now) const;
  void fade(MonotonicTime now);
  void count_ends(double ended, double failed);

  std::uint32_t in_flight_ = 0;
  std::uint64_t unread_tokens_ = 0;
  ReportedLoad reported_;
  std::uint32_t own_at_report_ = 0;
  std::optional<MonotonicTime> reported_at_;
  double failures_ = 0;  ///< Fading counts.
  double attempts_ = 0;
  double refusals_ = 0;  ///< Not among the attempts: the back end is well.
  MonotonicTime faded_at_{};
  MonotonicTime told_pause_until_{};
  std::uint32_t unreachable_in_row_ = 0;
  MonotonicTime ejected_until_{};
  MonotonicTime replaced_until_{};
  std::optional<MonotonicTime> answered_at_;
  std::unordered_map<std::uint64_t, CachedPart> cached_;  ///< By part key; old ones are dropped.
  std::size_t prune_cached_at_ = kLeastPrune;             ///< Size at which that is done.
  std::uint64_t parts_noted_ = 0;                         ///< In all.
};

/// All back ends of one node.
class LoadTable {
 public:
  BackendLoad& of(const BackendId& id) { return loads_[id]; }
  const BackendLoad* find(const BackendId& id) const;
  const std::map<BackendId, BackendLoad>& all() const { return loads_; }
  void forget(const BackendId& id) { loads_.erase(id); }

  /// The same as of the back end's load, and told to whoever listens to changes. A back end that
  /// was forgotten while a request ran there stays forgotten.
  void begin(const BackendId& id, std::uint64_t unread_tokens);
  void note_prefilled(const BackendId& id, std::uint64_t unread_tokens);
  void end(const BackendId& id, AttemptOutcome verdict, MonotonicTime now);
  void note_report(const BackendId& id, const ReportedLoad& load, MonotonicTime now);

  void note_silence(const BackendId& id, MonotonicTime now);
  /// Called when a back end has fallen silent or could not be reached.
  void on_unresponsive(std::function<void(const BackendId&)> callback) {
    silent_ = std::move(callback);
  }

  /// Remembers the parts of a prompt that a back end reads now.
  void note_prompt(const BackendId& id, const Prompt& prompt, MonotonicTime now);
  /// The back end has not read a prompt that was sent to it at `sent`: what was not believed there
  /// before is not believed now.
  void forget_prompt(const BackendId& id, const Prompt& prompt, MonotonicTime sent);
  /// Remembers one part that a back end keeps, as another node tells.
  void note_cached(const BackendId& id, std::uint64_t part_key, MonotonicTime now);
  /// Some of the back ends that are believed to keep a part: all if they are no more than `most`,
  /// else so many by chance.
  std::vector<BackendId> holders(std::uint64_t part_key, std::size_t most, MonotonicTime now,
                                 RandomSource& random) const;
  /// Remembers parts by their keys.
  void note_parts(const BackendId& id, const std::vector<std::uint64_t>& keys, MonotonicTime now);
  /// Called with the parts that a back end reads or turns out to keep.
  void on_prompt(
      std::function<void(const BackendId&, const std::vector<std::uint64_t>&)> callback) {
    prompt_read_ = std::move(callback);
  }

  /// Called when an attempt that tells of the back end's health has ended.
  void on_end(std::function<void(const BackendId&, bool failed)> callback) {
    ended_ = std::move(callback);
  }
  /// Called after this node's work at a back end has changed.
  void on_change(std::function<void(const BackendId&)> callback) { changed_ = std::move(callback); }
  /// Where to ask for the work of other nodes; null: nowhere.
  void set_peers(const PeerView* peers) { peers_ = peers; }
  /// This node's own work at a back end.
  EngineWorkload own(const BackendId& id) const;
  /// Work of the other nodes at a back end, as they told it.
  EngineWorkload others(const BackendId& id, MonotonicTime now) const;

 private:
  static constexpr std::size_t kLeastIndexPrune = 4096;
  /// Of those that may keep a part; where it is so common, any engine will do.
  static constexpr std::size_t kMostHoldersTried = 64;

  void changed(const BackendId& id) const;
  BackendLoad* known(const BackendId& id);
  void index_part(const BackendId& id, std::uint64_t part_key, MonotonicTime now);

  std::map<BackendId, BackendLoad> loads_;
  /// By part, those that have kept it; some may have forgotten it or stand there twice.
  std::unordered_map<std::uint64_t, std::vector<BackendId>> holders_;
  std::size_t holder_entries_ = 0;
  std::size_t prune_holders_at_ = kLeastIndexPrune;  ///< Entries at which the index is made anew.
  std::function<void(const BackendId&)> changed_;
  std::function<void(const BackendId&)> silent_;
  std::function<void(const BackendId&, bool)> ended_;
  std::function<void(const BackendId&, const std::vector<std::uint64_t>&)> prompt_read_;
  const PeerView* peers_ = nullptr;
};

}  // namespace ochrespring::gateway
