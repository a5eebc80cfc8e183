// Checks on requests: what callers were told against what back ends ran.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "oracle/observation.h"
#include "oracle/reporter.h"
#include "oracle/settings.h"

namespace ochrespring::oracle {

/// Whole answers, true refusals, at most once, no cut by planned changes or stops, and no new work
/// for a leaving back end.
class RequestChecks {
 public:
  RequestChecks(const OracleSettings& settings, Reporter& reporter)
      : settings_(settings), reporter_(reporter) {}

  void on(const RunStarted& run);
  void on(const RunCut& cut);
  void on(const RequestSubmitted& request);
  void on(const RequestEnded& end);
  void on(const BackendLeaving& change);
  void on(const NodeStopped& stop);
  void on(const Quiescent& end);

 private:
  struct RequestState {
    RequestSubmitted submitted;
    std::uint32_t runs = 0;
    std::uint32_t planned_cuts = 0;
    std::uint32_t fault_cuts = 0;
    bool repeats_key = false;  ///< Its key was submitted before.
    std::optional<AnswerVerdict> verdict;
  };

  void check_end(const RequestState& request, const RequestEnded& end);

  OracleSettings settings_;
  Reporter& reporter_;
  std::map<RequestId, RequestState> requests_;
  std::set<std::string> submitted_keys_;
  std::map<std::string, std::uint32_t> runs_by_key_;
  std::map<EngineId, MonotonicTime> leaving_since_;
};

}  // namespace ochrespring::oracle
