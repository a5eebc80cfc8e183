// Drives one engine of a held shard through the charts engine_life and drain: status, fence, drain,
// one order at a time. Pure and copyable; time is handed in, calls come out as commands.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "controller/change.h"
#include "statechart/chart_library.h"
#include "statechart/charts/drain.h"
#include "statechart/charts/engine_life.h"
#include "statechart/machine.h"

namespace ochrespring::controller {

/// What the drain of an engine needs to know and to say to the proxies.
class DrainGate {
 public:
  virtual ~DrainGate() = default;
  virtual void exclude(const EngineId& engine) = 0;
  virtual void request_moves(const EngineId& engine) = 0;
  virtual void include(const EngineId& engine) = 0;
  /// The engine has seen, or may have forgotten, this epoch's fence.
  virtual void set_fenced(const EngineId& engine, bool fenced) = 0;
  /// No proxy can dispatch new work to the engine any more.
  virtual bool acknowledged(const EngineId& engine) const = 0;
  /// Requests the proxies report in flight on the engine.
  virtual std::uint32_t in_flight(const EngineId& engine) const = 0;
};

enum class DriverCommand : std::uint8_t {
  kReadStatus,  ///< Ask the engine for its status.
  kSendOrder,   ///< Send order(), if the lease is still held at that moment.
  kSuperseded,  ///< The engine has seen a higher epoch: see status().
  kCompleted,   ///< The change is done.
  kFailed,      ///< The change did not take place.
};

enum class OrderResult : std::uint8_t {
  kAccepted,
  kStale,    ///< Refused: the engine has seen a higher fence.
  kRefused,  ///< Certainly no effect.
  kUnknown,
};

/// Planted bugs for the tests that show that the checks can fail. All off in production.
struct ControllerFaults {
  bool order_before_drain = false;      ///< Orders without waiting for acknowledgements.
  bool in_flight_ignored = false;       ///< Orders while requests run on the engine.
  bool resend_without_reading = false;  ///< Orders again after a lost answer, without reading.
  bool restart_ignored = false;         ///< Misses that the engine forgot its fence.
  bool lease_not_checked = false;       ///< Orders without asking whether the lease is held.
};

struct DriverSettings {
  Duration busy_poll{std::chrono::milliseconds(400)};  ///< Status while something is going on.
  Duration idle_poll{std::chrono::seconds(30)};        ///< Status while the engine just serves.
  Duration longest_retry{std::chrono::seconds(10)};
  ControllerFaults faults;
};

class EngineDriver {
 public:
  EngineDriver(const statechart::ChartLibrary& charts, EngineId engine, Epoch epoch,
               const DriverSettings& settings);

  /// Reads the status first of all.
  void start(DrainGate& gate, MonotonicTime now);
  void on_status(const engine::EngineStatus& status, DrainGate& gate, MonotonicTime now);
  void on_status_failed(DrainGate& gate, MonotonicTime now);
  void on_order_result(engine::OrderFence fence, OrderResult result, DrainGate& gate,
                       MonotonicTime now);
  /// A load report showed this incarnation.
  void on_incarnation(Incarnation incarnation, DrainGate& gate, MonotonicTime now);
  /// Checks the drain, and polls the engine when due.
  void on_tick(DrainGate& gate, MonotonicTime now);

  /// Starts a change; only while ready().
  void request_change(const WantedChange& change, DrainGate& gate, MonotonicTime now);
  /// Gives up a change that has not been ordered yet.
  void abandon_change(DrainGate& gate, MonotonicTime now);
  /// Whether a drained engine may be ordered now; the owner holds it back while a budget is short.
  void set_may_order(bool may_order) { may_order_ = may_order; }
  /// Keeps the engine drained for operators.
  void set_held_drained(bool held, Duration limit, DrainGate& gate, MonotonicTime now);

  /// Serving, fenced and free for a change.
  bool ready() const;
  /// Out of service, or on the way there.
  bool out() const;
  bool drained() const { return drain_.in(statechart::Drain::State::kDrained); }
  const EngineId& engine() const { return engine_; }
  const std::optional<engine::EngineStatus>& status() const { return status_; }
  /// The change under way.
  const std::optional<WantedChange>& change() const { return change_; }
  /// The change that kCompleted or kFailed is about.
  const std::optional<WantedChange>& finished() const { return finished_; }
  const engine::EngineOrder& order() const { return order_; }
  bool reachable() const { return failures_ == 0; }
  const statechart::Machine<statechart::EngineLife>& life() const { return life_; }
  const statechart::Machine<statechart::Drain>& drain() const { return drain_; }
  /// Everything that decides what this driver does next; for exploration.
  template <class Archive>
  void save_state(Archive& archive) const {
    archive << life_.state_index() << drain_.state_index() << fence_ << status_
            << change_.has_value() << order_ << may_order_ << held_drained_ << status_outstanding_
            << status_fresh_ << ask_again_ << next_poll_.time_since_epoch()
            << drain_started_.time_since_epoch() << failures_;
  }

  /// Commands since the last call, in order.
  std::vector<DriverCommand> take_commands();

 private:
  struct LifeOwner;
  struct DrainOwner;
  using LifeEvent = statechart::EngineLife::Event;
  using DrainEvent = statechart::Drain::Event;

  void post(LifeEvent event, DrainGate& gate, MonotonicTime now);
  void post(DrainEvent event, DrainGate& gate, MonotonicTime now);
  void finish(DriverCommand command);
  void read_status(MonotonicTime now);
  void send(engine::EngineOrder order);
  bool order_in_effect() const;
  void follow_change(DrainGate& gate, MonotonicTime now);
  void check_drain(DrainGate& gate, MonotonicTime now);

  statechart::Machine<statechart::EngineLife> life_;
  statechart::Machine<statechart::Drain> drain_;
  DriverSettings settings_;
  EngineId engine_;
  engine::OrderFence fence_;
  std::optional<engine::EngineStatus> status_;
  std::optional<WantedChange> change_;
  std::optional<WantedChange> finished_;
  Duration drain_limit_{};
  engine::EngineOrder order_;
  bool may_order_ = true;
  bool held_drained_ = false;
  bool status_outstanding_ = false;
  bool status_fresh_ = false;  ///< Asked for after the drain was acknowledged.
  bool ask_again_ = false;
  MonotonicTime next_poll_{};
  MonotonicTime drain_started_{};
  std::uint32_t failures_ = 0;
  std::vector<DriverCommand> commands_;
};

}  // namespace ochrespring::controller
