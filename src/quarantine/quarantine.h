// Keeps requests that crash back ends away from further back ends.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

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
#include "quarantine/recent_answers.h"
#include "quarantine/termination_detector.h"
#include "shared_store/store.h"

namespace ochrespring::quarantine {

struct QuarantineOptions {
  std::string key_prefix;  ///< Prefix of the keys in the shared store.
  NodeId node;
  CrashLedgerOptions ledger{};
  /// Period within which a relay batches the reports for the nodes of its zone.
  Duration relay_batch_window{std::chrono::milliseconds(10)};
};

/// Protects the fleet from requests, and from shared prompt parts, that crash each back end that
/// starts to run them.
///
/// Without it, such a request terminated 41 back ends in 30 s in a simulated fleet of 6 nodes and 5
/// engines, and only 46 % of the other requests were answered
/// (gateway_node/tests/crashing_request_test.cc checks the same case with it).
///
/// Nodes broadcast each termination at once together with the requests that were running, so all
/// nodes count the same terminations whichever of them observed them. Quarantined requests are also
/// kept in the shared store. A request that is answered is no longer suspected.
///
/// Performs no I/O itself. Not thread-safe; used on one event loop.
class Quarantine final : public gateway::RequestGuard {
 public:
  /// The referenced objects must outlive the Quarantine.
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
    /// Sends to all other nodes, or to the relays of all zones.
    CrashAnnouncer::Send broadcast;
    /// Sends to the nodes of the zone, if this node is their relay.
    CrashAnnouncer::Send broadcast_to_zone;
    std::function<void()> request_horizon;  ///< Sends a HorizonRequest to another node, if any.
    /// Number of nodes that are believed to be running, including this one; at least 1.
    std::function<std::uint32_t()> node_count;
  };

  Quarantine(Dependencies dependencies, const QuarantineOptions& options, Callbacks callbacks);

  bool is_active() const override { return !ledger_.empty() || !detector_.idle(); }
  gateway::SendVerdict check(const gateway::RequestIdentity& identity) override;
  Duration retry_after(const gateway::RequestIdentity& identity) const override;
  void claim_trial(const gateway::RequestIdentity& identity,
                   std::function<void(bool granted)> done) override;
  std::set<gateway::BackendId> terminated_backends() const override {
    return ledger_.terminated_backends();
  }
  void note_failure(const gateway::FailedAttempt& attempt) override;
  void note_answer(const gateway::AnsweredAttempt& attempt) override;
  void note_answered_parts(const std::vector<gateway::RequestFingerprint>& parts) override;

  void start();
  /// Receives reports from another node.
  void receive(const CrashReportBatch& batch);
  /// As receive(), and passes the reports on to the nodes of the zone as their relay.
  void receive_for_relay(const CrashReportBatch& batch);
  /// Applies the current value of a key in the store; none if the key was removed. The removal of a
  /// request is ignored: the request stays in the ledger until it expires.
  void apply_store_change(const std::string& key, const std::optional<std::string>& value);
  /// Called after this node's first full listing of the store, when all of its keys have been
  /// passed to apply_store_change().
  void on_first_listing();
  /// Called when the store may have lost writes; schedules all stored requests to be written again.
  void on_store_rolled_back();
  /// Called when the store answers this or another node. Retries failed writes at once, because
  /// they would be lost if all nodes were killed first.
  void on_store_available();
  /// Called when this node's polls of the store begin to fail and when they succeed again.
  void on_store_state(bool reachable);
  /// Receives how far back another node's ledger is complete.
  void receive(const HorizonReport& report);
  HorizonReport horizon() const {
    return horizon_.report(suspect_count(), dependencies_.clock.now());
  }
  /// Called when the back end's entry was removed from the fleet view.
  void note_backend_removed(const gateway::Backend& backend) {
    pending_excuses_.erase(backend.id);
    detector_.note_backend_removed(backend);
  }
  /// Sends all crash reports, for a node that has just started.
  void send_all(const CrashAnnouncer::Send& send) const { announcer_.send_all(send); }
  /// Sets the callback for requests and prompt parts that become quarantined.
  void on_quarantined(std::function<void(const gateway::RequestFingerprint&)> callback) {
    quarantined_callback_ = std::move(callback);
  }
  void add_metrics(metrics::SampleSink& sink) const;
  const CrashLedger& ledger() const { return ledger_; }

 private:
  using Request = gateway::RequestFingerprint;  ///< Or a prompt part's.

  void handle_termination(const gateway::BackendId& backend,
                          const std::vector<gateway::FailedAttempt>& attempts);
  void merge(const CrashReportBatch& batch);
  /// Returns whether terminations that still count may be missing from the ledger.
  bool history_incomplete() const { return !horizon_.is_complete(dependencies_.clock.now()); }
  void note_termination(const Request& request, const ServiceName& service,
                        const gateway::BackendId& backend);
  void note_unknown_termination(const Request& request, const ServiceName& service);
  /// Returns what of a request is quarantined, the most terminations first.
  std::vector<Request> quarantined_of(const gateway::RequestIdentity& identity) const;
  bool is_trial_due(const Request& request, Duration patience) const;
  /// Claims a trial of each in order, as long as all are granted.
  void claim_trials(std::vector<Request> requests, std::function<void(bool granted)> done);
  void claim_single_trial(const Request& request, std::function<void(bool granted)> done);
  bool excuse_parts(const gateway::AnsweredAttempt& attempt);
  bool answered_lately(const Request& part);
  std::size_t count(SuspicionLevel level, bool prompt_parts) const;
  /// Returns the number of suspected and quarantined requests.
  std::size_t suspect_count() const;
  void apply_pending_horizon();
  void write_fleet_marker();
  /// Returns whether this node makes a write that any node could make. Random, so that about
  /// kExpectedWriters nodes of the fleet make it.
  bool is_selected_writer();
  /// Excuses the termination of a back end that answered an attempt begun at `started`: it is still
  /// running, and only the connection to it was interrupted.
  void excuse_backend(const gateway::BackendId& backend, MonotonicTime started);
  /// As excuse_backend(), but waits until the fleet view shows whether another incarnation of the
  /// back end has answered.
  void excuse_after_view_update(const gateway::BackendId& backend, MonotonicTime started);
  void process_pending_excuses();
  /// Quarantines or releases the request after its ledger entry has changed. Prompt parts follow
  /// with update_parts().
  void update_quarantine(const Request& request);
  /// Quarantines and releases prompt parts after entries have changed.
  void update_parts();
  void enter(const Request& request);
  bool has_observed(const Request& request) const;
  void release(const Request& request);
  /// Removes the request from the store.
  void remove_stored(const Request& request);
  bool should_store(const Request& request);
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
  RecentAnswers answered_parts_;
  /// When this node last claimed a trial of the request.
  std::map<Request, MonotonicTime> claimed_at_;
  std::set<Request> unsaved_;
  bool save_failed_ = false;         ///< The last write of a request failed.
  bool fleet_marker_found_ = false;  ///< The store holds the fleet marker.
  bool fleet_marker_due_ = false;    ///< This node must write the fleet marker.
  /// A back end that has answered although it was recorded as terminated.
  struct PendingExcuse {
    MonotonicTime started{};  ///< Start of the attempt that was answered.
    MonotonicTime answered{};
  };
  std::map<gateway::BackendId, PendingExcuse> pending_excuses_;
  bool store_reachable_ = true;
  MonotonicTime store_reachable_since_{};
  Timer excuse_timer_;
  Timer save_timer_;
  Timer sweep_timer_;
  std::function<void(const Request&)> quarantined_callback_;

  struct Counts {
    std::uint64_t terminations_seen = 0;
    std::uint64_t quarantined_checks = 0;
    std::uint64_t trials = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t released = 0;
  };
  Counts counts_;
};

}  // namespace ochrespring::quarantine
