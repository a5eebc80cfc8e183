// A simulated model engine: takes fenced orders, streams completions, crashes and forgets.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "engine/types.h"
#include "external/engine_control.h"
#include "simulation/answer_faults.h"
#include "simulation/exchange.h"
#include "simulation/surroundings.h"
#include "standin/model/engine_orders.h"

namespace ochrespring::simulation {

/// How an engine crashes.
struct EngineCrash {
  Duration down{};  ///< Until it listens again.
  bool forgets_fence = false;
};

/// Planted bugs of the engine's protocol; the promises depend on the engine keeping it.
struct EngineTestingFaults {
  bool ignores_fence = false;     ///< Carries out any order.
  bool takes_while_busy = false;  ///< Replaces the order it is carrying out.
};

/// What is known of an engine before it runs.
struct EngineSite {
  EngineId id;
  Endpoint endpoint;
  ZoneName zone;
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  ModelName model;
  VersionName version;
  EngineTestingFaults testing_faults;
};

class SimulatedEngine final : public BackendHost {
 public:
  using StatusResult = Result<engine::EngineStatus, external::ExternalError>;

  SimulatedEngine(EngineSite site, Surroundings surroundings);
  ~SimulatedEngine() override { end_runs(oracle::CutCause::kFault); }
  SimulatedEngine(const SimulatedEngine&) = delete;
  SimulatedEngine& operator=(const SimulatedEngine&) = delete;

  const EngineSite& site() const { return site_; }

  // Control calls; only while the engine is listening.
  engine::EngineStatus status() const;
  StatusResult order(const engine::EngineOrder& order, const NodeId& sender, MonotonicTime sent);
  std::vector<engine::LoadReport> load();

  // Calls.
  bool listening() const override { return !down_; }
  Incarnation incarnation() const override { return orders_.status().incarnation; }
  void serve(const ServedRequest& request, std::shared_ptr<ServerStream> stream) override;

  // Faults.
  void crash(const EngineCrash& crash);
  /// Crashes in the middle of the next order that takes it out of service.
  void crash_in_next_order(const EngineCrash& crash) { crash_in_order_ = crash; }
  AnswerFaults& answer_faults() { return answer_faults_; }

 private:
  struct Run {
    ServedRequest request;
    std::shared_ptr<ServerStream> stream;
    std::string prompt;
    std::uint64_t next_token = 0;
    std::uint64_t end_token = 0;
    bool streaming = true;
    std::string text;  ///< Gathered when not streaming.
    std::optional<AnswerFault> fault;
  };

  void begin_order(const engine::EngineOrder& order);
  void complete_order();
  void force_acceptable(const engine::EngineOrder& order);
  void start_run(const ServedRequest& request, std::shared_ptr<ServerStream> stream);
  void step_run(std::uint64_t number);
  void finish_run(Run& run);
  void end_runs(oracle::CutCause cause);

  EngineSite site_;
  Surroundings surroundings_;
  standin::EngineOrders orders_;
  bool down_ = false;
  std::optional<EngineCrash> crash_in_order_;
  AnswerFaults answer_faults_;
  std::uint64_t next_run_ = 1;
  std::map<std::uint64_t, Run> runs_;
  std::map<std::uint64_t, TimerId> run_timers_;
  std::uint64_t next_report_ = 1;
  std::string last_answer_;  ///< For crossed answers.
  Timer order_timer_;
  Timer restart_timer_;
  Timer crash_timer_;
};

}  // namespace ochrespring::simulation
