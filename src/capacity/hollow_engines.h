// Engines without a model: they report loads that wander, and take orders.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "external/engine_control.h"
#include "fleet/types.h"
#include "simulation/virtual_time.h"

namespace ochrespring::capacity {

/// All engines of the fleet. Loads change a little whenever they are read.
class HollowEngines {
 public:
  HollowEngines(RandomSource& random, const fleet::FleetDocument& document);

  /// Reports of all engines at the server of this endpoint; empty if there is none.
  std::vector<engine::LoadReport> load(const Endpoint& endpoint);
  engine::EngineStatus status(const Endpoint& endpoint);
  /// Accepts an order above the highest fence seen.
  Result<engine::EngineStatus, external::ExternalError> order(const Endpoint& endpoint,
                                                              const engine::EngineOrder& order);

 private:
  struct State {
    engine::EngineStatus status;
    engine::LoadReport load;
    std::vector<Endpoint> server;  ///< Endpoints of the engines of the same server.
  };
  void wander(State& state);

  RandomSource& random_;
  std::unordered_map<Endpoint, State> engines_;
};

/// One node's control calls to the engines. Load reports pass through their JSON form, so that the
/// node pays for reading it.
class HollowEngineControl final : public external::EngineControl {
 public:
  /// Runs a callback in the node's context.
  using Runner = std::function<void(std::function<void()> callback)>;

  HollowEngineControl(simulation::VirtualTime& time, HollowEngines& engines, Runner runner)
      : time_(time), engines_(engines), runner_(std::move(runner)) {}

  void status(const Endpoint& engine,
              external::ExternalCallback<engine::EngineStatus> done) override;
  void order(const Endpoint& engine, const engine::EngineOrder& order,
             external::ExternalCallback<engine::EngineStatus> done) override;
  void load(const Endpoint& engine,
            external::ExternalCallback<std::vector<engine::LoadReport>> done) override;
  void cache_events(const Endpoint& engine, std::uint64_t after,
                    external::ExternalCallback<external::CacheEventBatch> done) override;

  std::uint64_t calls() const { return calls_; }
  /// Bytes of calls and answers as JSON over HTTP, headers of all layers included.
  std::uint64_t bytes_sent() const { return calls_ * kCallBytes; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  template <class T>
  void answer(external::ExternalCallback<T> done, Result<T, external::ExternalError> result);

  /// Request line, headers, TCP and IP of one call over a kept connection.
  static constexpr std::uint64_t kCallBytes = 250;
  /// Head of the answer and the lower layers.
  static constexpr std::uint64_t kAnswerBytes = 250;

  simulation::VirtualTime& time_;
  HollowEngines& engines_;
  Runner runner_;
  std::uint64_t calls_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace ochrespring::capacity
