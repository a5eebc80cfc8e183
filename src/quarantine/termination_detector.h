// Distinguishes the termination of a back end from connections that broke for other reasons.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/time.h"
#include "base/timer.h"
#include "gateway/fleet_state.h"
#include "gateway/request_guard.h"
#include "http/client.h"
#include "quarantine/crash_ledger.h"

namespace ochrespring::quarantine {

/// Decides whether a back end has terminated when a connection to it breaks.
///
/// Requests whose connections the back end closed are suspected during the investigation. A probe
/// connection opened shortly afterwards decides: if it is refused, the back end has terminated; if
/// it is accepted, the back end is running, and the connection was reset, lost in the network or
/// timed out after this node was suspended. If the probe is not answered, the fleet view decides:
/// the entry of a terminated back end is removed after a few missed heartbeats. A back end that has
/// announced that it is leaving terminates as planned and is not reported.
///
/// Not thread-safe; used on one event loop.
class TerminationDetector {
 public:
  using Probe =
      std::function<void(const Endpoint& address, std::function<void(http::ProbeResult)> done)>;
  /// Called when a back end has terminated during these requests of this node.
  using OnTerminated = std::function<void(const gateway::BackendId& backend,
                                          const std::vector<gateway::FailedAttempt>& attempts)>;

  /// The referenced objects must outlive this one.
  TerminationDetector(const Clock& clock, TimerService& timers, const gateway::FleetState& fleet,
                      Probe probe, OnTerminated on_terminated);

  /// Starts or joins the investigation of the attempt's back end, unless it is unknown or leaving.
  /// An attempt whose connection was not closed is ignored if the back end has just accepted a
  /// probe. If the back end is already known to have terminated, the attempt is reported at once if
  /// it started before that was found, and ignored otherwise.
  void note_failed_attempt(const gateway::FailedAttempt& attempt);
  /// Called when the back end's entry was removed from the fleet view.
  void note_backend_removed(const gateway::Backend& backend);
  /// Returns the back ends that may have terminated during the request: they closed its connections
  /// and are still under investigation.
  CrashLedger::BackendIds suspected_terminations(const gateway::RequestFingerprint& request) const;
  bool idle() const { return investigations_.empty(); }
  /// Number of probe connections opened so far.
  std::uint64_t probes() const { return probes_; }

 private:
  /// A back end whose connections broke, until it is known why.
  struct Investigation {
    explicit Investigation(TimerService& timers) : timer(timers) {}

    Endpoint address;
    std::vector<gateway::FailedAttempt> attempts;
    Timer timer;  ///< Starts the probe, then ends the investigation.
    bool probed = false;
  };

  void probe(const gateway::BackendId& backend);
  void handle_probe_result(const gateway::BackendId& backend, http::ProbeResult result);
  void resolve_as_terminated(const gateway::BackendId& backend);
  void drop_old_results();

  const Clock& clock_;
  TimerService& timers_;
  const gateway::FleetState& fleet_;
  Probe probe_;
  OnTerminated on_terminated_;
  std::map<gateway::BackendId, std::unique_ptr<Investigation>> investigations_;
  /// When back ends were found to have terminated. Entries may be dropped after
  /// kInvestigationTimeout.
  std::map<gateway::BackendId, MonotonicTime> terminated_at_;
  std::map<gateway::BackendId, MonotonicTime> accepted_at_;  ///< Last accepted probes.
  std::uint64_t probes_ = 0;
};

}  // namespace ochrespring::quarantine
