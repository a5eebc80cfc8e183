// One machine's place in the fleet: the process on it comes and goes, the name stays.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/timer.h"
#include "simulation/node_program.h"

namespace ochrespring::simulation {

/// Starts, pauses, stops and kills the processes of one machine.
class NodeSlot {
 public:
  NodeSlot(NodeSite site, NodeWorld world);
  ~NodeSlot() { end_process(false); }
  NodeSlot(const NodeSlot&) = delete;
  NodeSlot& operator=(const NodeSlot&) = delete;

  const NodeSite& site() const { return site_; }
  bool running() const { return program_ != nullptr; }
  bool paused() const { return runtime_ && runtime_->paused(); }
  bool stopping() const { return stopping_; }
  /// Whether an operator's call would be answered now.
  bool reachable() const { return running() && !paused() && !stopping_; }
  /// Whether a caller's connection would be accepted now.
  bool accepting() const { return reachable() && program_->accepting(); }
  /// The running program, or null.
  NodeProgram* program() { return program_.get(); }
  Incarnation incarnation() const { return incarnation_; }

  void start();
  /// SIGKILL; another process is started after `down`.
  void kill(Duration down);
  /// SIGTERM; when the program is done the process ends, and another is started after `down`.
  void stop(Duration down);
  void pause(Duration span);
  void wake();

  /// Hands a caller's request to the process.
  void submit(const std::shared_ptr<CallerRecord>& caller);
  void on_caller_gone(const CallerRecord& caller);
  /// Reports the revision in force, if there is one.
  void report_revision();

 private:
  void end_process(bool planned);
  std::vector<RequestId> forget_callers();

  NodeSite site_;
  NodeWorld world_;
  Incarnation incarnation_;
  std::shared_ptr<ProcessRuntime> runtime_;
  std::unique_ptr<NodeProgram> program_;
  bool stopping_ = false;
  std::shared_ptr<const fleet::FleetDocument> reported_document_;
  oracle::RevisionInForce report_;                      ///< Of `reported_document_`.
  std::vector<std::shared_ptr<CallerRecord>> callers_;  ///< Open, and some that have ended.
  Timer restart_timer_;
  Timer wake_timer_;
};

}  // namespace ochrespring::simulation
