// One node's part in keeping requests that termination their backends away from further backends.
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
#include "quarantine/ledger_horizon.h"
#include "quarantine/quarantine_store.h"
#include "quarantine/termination_detector.h"
#include "shared_store/store.h"

namespace ochrespring::quarantine {

struct QuarantineOptions {
  std::string key_prefix;  ///< Of the store.
  NodeId node;
  CrashLedgerOptions ledger{};
  /// How long a relay gathers what it tells the nodes of its zone.
  Duration relay_batch_window{std::chrono::milliseconds(10)};
};

/// Guards a fleet against a request that terminations each backend that begins to run it: without
/// it 41 backends ended in 30 s of a fleet of 6 nodes and 5 engines under virtual time, and 0.46 of
/// the other requests were served (tests/crashing_request_test.cc has the figures with it).
///
/// Nodes tell each other at once of each backend that ended, and of whose request it had; they
/// count the same, whichever of them saw which termination. What is quarantined is in the store,
/// too. A request that is answered is held against nobody. Does no input or output itself. One
/// loop.
class Quarantine final : public gateway::RequestGuard {
 public:
  /// References outlive it.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
  };
  struct Callbacks {
    TerminationDetector::Probe probe;
    CrashAnnouncer::Send broadcast;          ///< All other nodes, or relays of all zones.
    CrashAnnouncer::Send broadcast_to_zone;  ///< As a relay: the nodes of the zone.
    std::function<void()> request_horizon;   ///< Of some other node, if any is known.
    /// Nodes believed to take part, this one included; at least 1.
    std::function<std::uint32_t()> node_count;
  };

  Quarantine(Dependencies dependencies, const QuarantineOptions& options, Callbacks callbacks);

  bool watching() const override { return !ledger_.empty() || !detector_.idle(); }
  gateway::SendVerdict judge(const gateway::RequestFingerprint& request) override;
  Duration retry_after(const gateway::RequestFingerprint& request) const override;
  void claim_trial(const gateway::RequestFingerprint& request,
                   std::function<void(bool granted)> done) override;
  void note_break(const gateway::BrokenAttempt& attempt) override;
  void note_answer(const gateway::AnsweredAttempt& attempt) override;

  void start();
  /// Another node's news; as a relay, to be passed on.
  void receive(const CrashReportBatch& batch);
  void receive_for_relay(const CrashReportBatch& batch);
  /// A key of the store as it is since some change.
  void apply_store_change(const std::string& key, const std::optional<std::string>& value);
  /// This node has listed the store, as its first view of the fleet. After all keys of the listing
  /// were handed to apply_store_change().
  void on_first_listing();
  /// The store may have lost what was written there: it is written again.
  void on_store_rolled_back();
  /// The store answers, this node or another: what could not be written is tried at once, since it
  /// is lost if all nodes are killed before.
  void on_store_available();
  /// How far back another node's ledger reaches.
  void receive(const HorizonReport& report);
  HorizonReport horizon() const {
    return horizon_.report(suspect_count(), dependencies_.clock.now());
  }
  /// A backend's entry has gone from the view.
  void note_backend_removed(const gateway::Backend& backend) {
    pending_excuses_.erase(backend.id);
    detector_.note_backend_removed(backend);
  }
  /// For a node that has started.
  void send_all(const CrashAnnouncer::Send& send) const { announcer_.send_all(send); }
  /// Called when a request has come to be quarantined.
  void on_quarantined(std::function<void(const gateway::RequestFingerprint&)> callback) {
    quarantined_callback_ = std::move(callback);
  }
  void add_metrics(metrics::SampleSink& sink) const;
  const CrashLedger& ledger() const { return ledger_; }

 private:
  using Request = gateway::RequestFingerprint;

  void handle_termination(const gateway::BackendId& backend,
                          const std::vector<gateway::BrokenAttempt>& attempts);
  void merge(const CrashReportBatch& batch);
  /// Whether terminations may have been forgotten that count against requests of now.
  bool history_incomplete() const { return !horizon_.is_complete(dependencies_.clock.now()); }
  void note_unknown_termination(const gateway::BrokenAttempt& attempt);
  /// Requests that anything is held against.
  std::size_t suspect_count() const;
  void apply_pending_horizon();
  void write_fleet_marker();
  /// Whether this node is among the few that write what all of them might.
  bool is_selected_writer();
  /// A backend that answers an attempt begun at `started` has not ended before: a way to it was
  /// cut.
  void excuse_backend(const gateway::BackendId& backend, MonotonicTime started);
  /// As excuse_backend(), unless it turns out to be another life of the backend that answered.
  void excuse_after_view_update(const gateway::BackendId& backend, MonotonicTime started);
  void process_pending_excuses();
  /// What is known of a request has changed.
  void update_quarantine(const Request& request);
  void release(const Request& request);
  /// The store is to forget what it has of the request.
  void remove_stored(const Request& request);
  void save_later(const Request& request, Duration delay);
  void save();
  void sweep();
  void log(std::string_view message, const Request& request) const;

  Dependencies dependencies_;
  QuarantineOptions options_;
  CrashLedger ledger_;
  LedgerHorizon horizon_;
  TerminationDetector detector_;
  std::function<void()> request_horizon_;
  std::function<std::uint32_t()> node_count_;
  CrashAnnouncer announcer_;
  CrashAnnouncer relay_;
  QuarantineStore store_;
  std::set<Request> quarantined_;
  std::map<Request, MonotonicTime> claimed_at_;  ///< Last claims of trials, of this node.
  std::set<Request> unsaved_;
  bool save_failed_ = false;         ///< The last call that wrote a request.
  bool fleet_marker_found_ = false;  ///< The store says that the fleet has run before.
  bool fleet_marker_due_ = false;    ///< This node is to write that there.
  /// BackendIds that have answered although they were seen to termination, and the newest such
  /// attempt.
  struct PendingExcuse {
    MonotonicTime started{};
    MonotonicTime answered{};
  };
  std::map<gateway::BackendId, PendingExcuse> pending_excuses_;
  Timer excuse_timer_;
  Timer save_timer_;
  Timer sweep_timer_;
  std::function<void(const Request&)> quarantined_callback_;

  struct Counts {
    std::uint64_t terminations_seen = 0;
    std::uint64_t refusals = 0;
    std::uint64_t trials = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t released = 0;
  };
  Counts counts_;
};

}  // namespace ochrespring::quarantine
