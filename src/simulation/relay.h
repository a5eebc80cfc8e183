// A simulated ordinary back end whose calls may not be repeated: a text relay or a ticket service.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/timer.h"
#include "simulation/answer_faults.h"
#include "simulation/exchange.h"
#include "simulation/surroundings.h"
#include "standin/model/relay_log.h"

namespace ochrespring::simulation {

struct RelaySite {
  EngineId id;
  Endpoint endpoint;
};

/// Receipt a relay returns for a request with this key.
std::string receipt_for(const std::string& idempotency_key);

/// Runs every request that arrives, and counts.
class SimulatedRelay final : public BackendHost {
 public:
  SimulatedRelay(RelaySite site, Surroundings surroundings);
  ~SimulatedRelay() override = default;
  SimulatedRelay(const SimulatedRelay&) = delete;
  SimulatedRelay& operator=(const SimulatedRelay&) = delete;

  const RelaySite& site() const { return site_; }
  bool listening() const override { return !down_; }
  Incarnation incarnation() const override { return incarnation_; }
  void serve(const ServedRequest& request, std::shared_ptr<ServerStream> stream) override;

  /// The process dies and listens again after `down`; what it was answering is lost.
  void crash(Duration down);
  AnswerFaults& answer_faults() { return answer_faults_; }
  const standin::RelayLog& log() const { return log_; }

 private:
  struct Run {
    ServedRequest request;
    std::shared_ptr<ServerStream> stream;
    std::string key;
    std::optional<AnswerFault> fault;
  };

  void answer(std::uint64_t number);

  RelaySite site_;
  Surroundings surroundings_;
  bool down_ = false;
  Incarnation incarnation_{1};
  AnswerFaults answer_faults_;
  standin::RelayLog log_;
  std::uint64_t next_run_ = 1;
  std::map<std::uint64_t, Run> runs_;
  Timer restart_timer_;
};

}  // namespace ochrespring::simulation
