// Tells the end of a server from a connection that broke for another reason.
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

/// When a connection to a server breaks, all requests that this node had there are suspects. A
/// connection that is opened a moment later decides: if nothing listens, the server has ended; if
/// it is accepted, the server lives, and the connection was reset, lost on the way or given up
/// after a pause of this node. Without an answer the view decides: the server's entry goes some
/// heartbeats after its end. A server that had said that it leaves ends as planned. One loop.
class EndWatch {
 public:
  using Probe =
      std::function<void(const Endpoint& address, std::function<void(http::ProbeResult)> done)>;
  /// A server has ended while it had these requests of this node.
  using Ended = std::function<void(const gateway::BackendId& server,
                                   const std::vector<gateway::FailedAttempt>& attempts)>;

  /// References outlive it.
  EndWatch(const Clock& clock, TimerService& timers, const gateway::FleetState& fleet, Probe probe,
           Ended ended);

  void note_break(const gateway::FailedAttempt& attempt);
  /// The server's entry has gone from the view.
  void note_gone(const gateway::Backend& server);
  /// Servers that may have ended under the request: its connections were closed, and it is not yet
  /// known why.
  CrashLedger::Servers may_have_ended(const gateway::RequestFingerprint& request) const;
  bool idle() const { return cases_.empty(); }
  std::uint64_t probes() const { return probes_; }

 private:
  /// A server whose connections broke.
  struct Case {
    explicit Case(TimerService& timers) : timer(timers) {}

    Endpoint address;
    std::vector<gateway::FailedAttempt> attempts;
    Timer timer;  ///< Until the probe, then until the case is dropped.
    bool probed = false;
  };

  void probe(const gateway::BackendId& server);
  void take_result(const gateway::BackendId& server, http::ProbeResult result);
  void resolve_as_ended(const gateway::BackendId& server);
  void forget_old();

  const Clock& clock_;
  TimerService& timers_;
  const gateway::FleetState& fleet_;
  Probe probe_;
  Ended ended_;
  std::map<gateway::BackendId, std::unique_ptr<Case>> cases_;
  std::map<gateway::BackendId, MonotonicTime> ended_at_;
  std::map<gateway::BackendId, MonotonicTime> accepted_at_;  ///< By the last probes.
  std::uint64_t probes_ = 0;
};

}  // namespace ochrespring::quarantine
