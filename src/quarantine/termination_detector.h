// Tells the termination of a backend from a connection that broke for another reason.
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

/// When a connection to a backend breaks, all requests that this node had there are suspects. A
/// connection that is opened a moment later decides: if nothing listens, the backend has ended; if
/// it is accepted, the backend lives, and the connection was reset, lost on the way or given up
/// after a pause of this node. Without an answer the view decides: the backend's entry goes some
/// heartbeats after its termination. A backend that had said that it leaves terminations as
/// planned. One loop.
class TerminationDetector {
 public:
  using Probe =
      std::function<void(const Endpoint& address, std::function<void(http::ProbeResult)> done)>;
  /// A backend has ended while it had these requests of this node.
  using OnTerminated = std::function<void(const gateway::BackendId& backend,
                                          const std::vector<gateway::BrokenAttempt>& attempts)>;

  /// References outlive it.
  TerminationDetector(const Clock& clock, TimerService& timers, const gateway::FleetState& fleet,
                      Probe probe, OnTerminated on_terminated);

  void note_failed_attempt(const gateway::BrokenAttempt& attempt);
  /// The backend's entry has gone from the view.
  void note_backend_removed(const gateway::Backend& backend);
  /// BackendIds that may have ended under the request: its connections were closed, and it is not
  /// yet known why.
  CrashLedger::BackendIds suspected_terminations(const gateway::RequestFingerprint& request) const;
  bool idle() const { return investigations_.empty(); }
  std::uint64_t probes() const { return probes_; }

 private:
  /// A backend whose connections broke.
  struct Investigation {
    explicit Investigation(TimerService& timers) : timer(timers) {}

    Endpoint address;
    std::vector<gateway::BrokenAttempt> attempts;
    Timer timer;  ///< Until the probe, then until the case is dropped.
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
  std::map<gateway::BackendId, MonotonicTime> terminated_at_;
  std::map<gateway::BackendId, MonotonicTime> accepted_at_;  ///< By the last probes.
  std::uint64_t probes_ = 0;
};

}  // namespace ochrespring::quarantine
