// How an engine takes fenced orders: refusal of stale fences, one order at a time, seconds out of
// service, crashes in the middle. Free of I/O; the owner says how long an order takes.
#pragma once

#include <cstdint>
#include <optional>

#include "engine/types.h"

namespace ochrespring::standin {

/// What an engine answers to an order.
enum class OrderVerdict : std::uint8_t {
  kAccepted,
  kStaleFence,   ///< At or below the highest fence seen.
  kBusy,         ///< Another order is being carried out.
  kWrongEngine,  ///< Meant for another engine.
};

/// Whether an action takes its engine out of service while it is carried out.
bool leaves_service(engine::OrderAction action);

/// Single-threaded state of one engine process.
class EngineOrders {
 public:
  /// `initial` gives the engine's id, incarnation, role, model, version and adapters.
  explicit EngineOrders(engine::EngineStatus initial);

  /// Judges an order and, if accepted, starts it (or carries it out at once when it does not take
  /// the engine out of service).
  OrderVerdict accept(const engine::EngineOrder& order);
  /// Ends the order being carried out; its effect is now in force. No effect without one.
  void complete();
  /// The process died and came back: a new incarnation that has forgotten the order and, if
  /// `forget_fence`, every fence it has seen. An order that was running has no effect.
  void crash(Incarnation incarnation, bool forget_fence);
  /// Models a store that lost the fence without a restart.
  void forget_fence() { status_.highest_fence = {}; }

  /// Everything but `in_flight`, which the owner fills in.
  const engine::EngineStatus& status() const { return status_; }
  bool serving() const { return status_.phase == engine::EnginePhase::kServing; }

 private:
  void apply(const engine::EngineOrder& order);

  engine::EngineStatus initial_;
  engine::EngineStatus status_;
};

}  // namespace ochrespring::standin
