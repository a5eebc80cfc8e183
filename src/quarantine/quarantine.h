// One node's part in keeping requests that end their servers away from further servers.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "gateway/fleet_state.h"
#include "gateway/request_guard.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "quarantine/crash_announcer.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/end_watch.h"
#include "quarantine/ledger_horizon.h"
#include "quarantine/quarantine_store.h"
#include "shared_store/store.h"

namespace ochrespring::quarantine {

struct QuarantineOptions {
  std::string key_prefix;  ///< Of the store.
  NodeId node;
  CrashLedgerOptions ledger{};
  /// How long a relay gathers what it tells the nodes of its zone.
  Duration relay_gather{std::chrono::milliseconds(10)};
};

/// Guards a fleet against a request that ends each server that begins to run it: without it 41
/// servers ended in 30 s of a fleet of 6 nodes and 5 engines under virtual time, and 0.46 of the
/// other requests were served (tests/crashing_request_test.cc has the figures with it).
///
/// Nodes tell each other at once of each server that ended, and of whose request it had; they count
/// the same, whichever of them saw which end. What is quarantined is in the store, too. A request
/// that is answered is held against nobody. Does no input or output itself. One loop.
class Quarantine final : public gateway::RequestGuard {
 public:
  /// References outlive it.
  struct World {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
  };
  struct Links {
    EndWatch::Probe probe;
    CrashAnnouncer::Send tell;          ///< All other nodes, or relays of all zones.
    CrashAnnouncer::Send tell_zone;     ///< As a relay: the nodes of the zone.
    std::function<void()> ask_horizon;  ///< Of some other node, if any is known.
    /// Nodes believed to take part, this one included; at least 1.
    std::function<std::uint32_t()> node_count;
  };

  Quarantine(World world, const QuarantineOptions& options, Links links);

  bool is_active() const override { return !ledger_.empty() || !watch_.idle(); }
  gateway::SendVerdict check(const gateway::RequestFingerprint& request) override;
  Duration retry_after(const gateway::RequestFingerprint& request) const override;
  void claim_trial(const gateway::RequestFingerprint& request,
                   std::function<void(bool granted)> done) override;
  void note_failure(const gateway::FailedAttempt& attempt) override;
  void note_answer(const gateway::AnsweredAttempt& attempt) override;

  void start();
  /// Another node's news; as a relay, to be passed on.
  void take(const CrashNews& news);
  void take_to_relay(const CrashNews& news);
  /// A key of the store as it is since some change.
  void take_stored(const std::string& key, const std::optional<std::string>& value);
  /// This node has listed the store, as its first view of the fleet. After all keys of the listing
  /// were handed to take_stored().
  void on_first_listing();
  /// The store may have lost what was written there: it is written again.
  void on_store_set_back();
  /// The store answers, this node or another: what could not be written is tried at once, since it
  /// is lost if all nodes are killed before.
  void on_store_answer();
  /// How far back another node's ledger reaches.
  void take(const HorizonReport& told);
  HorizonReport horizon() const { return horizon_.report(held(), world_.clock.now()); }
  /// A server's entry has gone from the view.
  void note_gone(const gateway::Backend& server) {
    unclear_.erase(server.id);
    watch_.note_gone(server);
  }
  /// For a node that has started.
  void tell_all(const CrashAnnouncer::Send& send) const { announcer_.tell_all(send); }
  /// Called when a request has come to be quarantined.
  void on_quarantined(std::function<void(const gateway::RequestFingerprint&)> callback) {
    quarantined_callback_ = std::move(callback);
  }
  void add_metrics(metrics::SampleSink& sink) const;
  const CrashLedger& ledger() const { return ledger_; }

 private:
  using Request = gateway::RequestFingerprint;

  void note_ended(const gateway::BackendId& server,
                  const std::vector<gateway::FailedAttempt>& attempts);
  void merge(const CrashNews& news);
  /// Whether ends may have been forgotten that count against requests of now.
  bool has_gap() const { return !horizon_.is_complete(world_.clock.now()); }
  void note_forgotten_end(const gateway::FailedAttempt& attempt);
  /// Requests that anything is held against.
  std::size_t held() const;
  void settle_horizon();
  void mark_fleet();
  /// Whether this node is among the few that write what all of them might.
  bool is_chosen();
  /// A server that answers an attempt begun at `started` has not ended before: a way to it was cut.
  void clear(const gateway::BackendId& server, MonotonicTime started);
  /// As clear(), unless it turns out to be another life of the server that answered.
  void clear_later(const gateway::BackendId& server, MonotonicTime started);
  void settle_unclear();
  /// What is known of a request has changed.
  void review(const Request& request);
  void release(const Request& request);
  /// The store is to forget what it has of the request.
  void remove_stored(const Request& request);
  void save_later(const Request& request, Duration pause);
  void save();
  void sweep();
  void log(std::string_view message, const Request& request) const;

  World world_;
  QuarantineOptions options_;
  CrashLedger ledger_;
  LedgerHorizon horizon_;
  EndWatch watch_;
  std::function<void()> ask_horizon_;
  std::function<std::uint32_t()> node_count_;
  CrashAnnouncer announcer_;
  CrashAnnouncer relay_;
  QuarantineStore store_;
  std::set<Request> quarantined_;
  std::map<Request, MonotonicTime> claimed_at_;  ///< Last claims of trials, of this node.
  std::set<Request> unsaved_;
  bool save_failed_ = false;  ///< The last call that wrote a request.
  bool mark_found_ = false;   ///< The store says that the fleet has run before.
  bool mark_due_ = false;     ///< This node is to write that there.
  /// Servers that have answered although they were seen to end, and the newest such attempt.
  struct UnclearEnd {
    MonotonicTime started{};
    MonotonicTime answered{};
  };
  std::map<gateway::BackendId, UnclearEnd> unclear_;
  Timer clearing_timer_;
  Timer save_timer_;
  Timer sweep_timer_;
  std::function<void(const Request&)> quarantined_callback_;

  struct Counts {
    std::uint64_t ends_seen = 0;
    std::uint64_t refusals = 0;
    std::uint64_t trials = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t released = 0;
  };
  Counts counts_;
};

}  // namespace ochrespring::quarantine
