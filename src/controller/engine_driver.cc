#include "controller/engine_driver.h"

#include <algorithm>
#include <utility>

namespace ochrespring::controller {

using statechart::Drain;
using statechart::EngineLife;

/// Guards and actions of the chart engine_life.
struct EngineDriver::LifeOwner {
  EngineDriver& driver;
  DrainGate& gate;
  MonotonicTime now;

  bool evaluate(EngineLife::Guard guard) const {
    switch (guard) {
      case EngineLife::Guard::kOrderRunning:
        return driver.status_ && driver.status_->current_order.has_value();
      case EngineLife::Guard::kOrderInEffect:
        return driver.order_in_effect();
      case EngineLife::Guard::kNeedsDrain:
        return driver.change_ && needs_drain(driver.change_->order.action) &&
               !driver.settings_.faults.order_before_drain;
    }
    return false;
  }

  void run(EngineLife::Action action) const {
    switch (action) {
      case EngineLife::Action::kReadStatus:
        driver.read_status(now);
        break;
      case EngineLife::Action::kRaiseFence: {
        engine::EngineOrder order;
        order.action = engine::OrderAction::kRaiseFence;
        driver.send(std::move(order));
        break;
      }
      case EngineLife::Action::kBeginDrain:
        if (!driver.change_ || needs_drain(driver.change_->order.action)) {
          driver.post(Drain::Event::kDrainRequested, gate, now);
        }
        break;
      case EngineLife::Action::kEndDrain:
        if (!driver.held_drained_) {
          driver.post(Drain::Event::kUndrainRequested, gate, now);
        }
        break;
      case EngineLife::Action::kSendOrder:
        driver.send(driver.change_->order);
        break;
      case EngineLife::Action::kConfirmFence:
        gate.set_fenced(driver.engine_, true);
        break;
      case EngineLife::Action::kWithdrawFence:
        gate.set_fenced(driver.engine_, false);
        break;
      case EngineLife::Action::kNoteCompleted:
        driver.finish(DriverCommand::kCompleted);
        break;
      case EngineLife::Action::kNoteFailed:
        driver.finish(DriverCommand::kFailed);
        break;
      case EngineLife::Action::kNoteSuperseded:
        driver.commands_.push_back(DriverCommand::kSuperseded);
        break;
    }
  }
};

/// Guards and actions of the chart drain.
struct EngineDriver::DrainOwner {
  EngineDriver& driver;
  DrainGate& gate;
  MonotonicTime now;

  bool evaluate(Drain::Guard guard) const {
    switch (guard) {
      case Drain::Guard::kAcknowledged:
        return gate.acknowledged(driver.engine_);
      case Drain::Guard::kEmpty:
        return driver.settings_.faults.in_flight_ignored ||
               (driver.status_fresh_ && driver.status_->in_flight == 0 &&
                gate.in_flight(driver.engine_) == 0);
      case Drain::Guard::kLimitPassed:
        return now >= driver.drain_started_ + driver.drain_limit_;
    }
    return false;
  }

  void run(Drain::Action action) const {
    switch (action) {
      case Drain::Action::kExcludeEngine:
        driver.drain_started_ = now;
        driver.status_fresh_ = false;
        gate.exclude(driver.engine_);
        break;
      case Drain::Action::kIncludeEngine:
        gate.include(driver.engine_);
        break;
      case Drain::Action::kNoteAcknowledged:
        // Counts read before this moment may miss work that was dispatched since.
        driver.status_fresh_ = false;
        driver.ask_again_ = driver.status_outstanding_;
        driver.read_status(now);
        break;
      case Drain::Action::kRequestMoves:
        gate.request_moves(driver.engine_);
        break;
      case Drain::Action::kAnnounceDrained:
        break;
    }
  }
};

EngineDriver::EngineDriver(const statechart::ChartLibrary& charts, EngineId engine, Epoch epoch,
                           const DriverSettings& settings)
    : life_(charts.engine_life),
      drain_(charts.drain),
      settings_(settings),
      engine_(std::move(engine)),
      fence_{epoch, 0} {}

void EngineDriver::start(DrainGate& gate, MonotonicTime now) {
  LifeOwner owner{*this, gate, now};
  life_.start(owner);
}

void EngineDriver::post(LifeEvent event, DrainGate& gate, MonotonicTime now) {
  LifeOwner owner{*this, gate, now};
  life_.post(event, owner);
}

void EngineDriver::post(DrainEvent event, DrainGate& gate, MonotonicTime now) {
  DrainOwner owner{*this, gate, now};
  drain_.post(event, owner);
}

void EngineDriver::finish(DriverCommand command) {
  finished_ = std::exchange(change_, std::nullopt);
  commands_.push_back(command);
}

void EngineDriver::read_status(MonotonicTime now) {
  const Duration pause = settings_.busy_poll * (1U << std::min(failures_, 5U));
  next_poll_ = now + std::min(pause, settings_.longest_retry);
  if (!status_outstanding_ && failures_ == 0) {
    status_outstanding_ = true;
    commands_.push_back(DriverCommand::kReadStatus);
  }
}

void EngineDriver::send(engine::EngineOrder order) {
  ++fence_.sequence;
  order.engine = engine_;
  order.fence = fence_;
  order_ = std::move(order);
  commands_.push_back(DriverCommand::kSendOrder);
}

void EngineDriver::on_status(const engine::EngineStatus& status, DrainGate& gate,
                             MonotonicTime now) {
  status_outstanding_ = false;
  failures_ = 0;
  const bool restarted =
      status_ && status_->incarnation != status.incarnation && !settings_.faults.restart_ignored;
  status_ = status;
  status_fresh_ = !std::exchange(ask_again_, false);
  if (!status_fresh_) {
    read_status(now);
  }
  if (status.highest_fence.epoch == fence_.epoch) {
    fence_.sequence = std::max(fence_.sequence, status.highest_fence.sequence);
  }
  if (status.highest_fence.epoch > fence_.epoch) {
    commands_.push_back(DriverCommand::kSuperseded);
    return;
  }
  if (restarted) {
    post(LifeEvent::kEngineRestarted, gate, now);
  }
  post(LifeEvent::kStatusReceived, gate, now);
  follow_change(gate, now);
  check_drain(gate, now);
}

/// While the engine carries out an order its own status says how that ended.
void EngineDriver::follow_change(DrainGate& gate, MonotonicTime now) {
  if (!life_.in(EngineLife::State::kChanging) || status_->current_order) {
    return;
  }
  const bool own = change_ && status_->last_completed != order_.fence;
  post(own ? LifeEvent::kChangeFailed : LifeEvent::kChangeCompleted, gate, now);
}

bool EngineDriver::order_in_effect() const {
  return status_ && (status_->last_completed == order_.fence ||
                     (status_->current_order && status_->current_order->fence == order_.fence));
}

void EngineDriver::on_status_failed(DrainGate& gate, MonotonicTime now) {
  status_outstanding_ = false;
  ++failures_;
  post(LifeEvent::kEngineUnreachable, gate, now);
}

void EngineDriver::on_order_result(engine::OrderFence fence, OrderResult result, DrainGate& gate,
                                   MonotonicTime now) {
  if (fence != order_.fence) {
    return;  // Settled already.
  }
  const bool raising = order_.action == engine::OrderAction::kRaiseFence;
  switch (result) {
    case OrderResult::kAccepted:
      post(raising ? LifeEvent::kFenceRaised : LifeEvent::kOrderAccepted, gate, now);
      read_status(now);
      break;
    case OrderResult::kStale:
      post(LifeEvent::kOrderStale, gate, now);
      break;
    case OrderResult::kRefused:
      failures_ += raising ? 1 : 0;  // Not at once again.
      post(LifeEvent::kOrderRefused, gate, now);
      break;
    case OrderResult::kUnknown:
      if (settings_.faults.resend_without_reading && !raising) {
        send(change_->order);
        break;
      }
      post(LifeEvent::kAnswerLost, gate, now);
      break;
  }
}

void EngineDriver::on_incarnation(Incarnation incarnation, DrainGate& gate, MonotonicTime now) {
  if (status_ && status_->incarnation != incarnation && !settings_.faults.restart_ignored) {
    status_.reset();
    status_fresh_ = false;
    post(LifeEvent::kEngineRestarted, gate, now);
  }
}

void EngineDriver::on_tick(DrainGate& gate, MonotonicTime now) {
  check_drain(gate, now);
  const bool idle = life_.in(EngineLife::State::kServing) && drain_.in(Drain::State::kOpen);
  const MonotonicTime due = idle ? next_poll_ + settings_.idle_poll : next_poll_;
  if (!status_outstanding_ && now >= due) {
    failures_ = std::min(failures_, 8U);
    next_poll_ = now + std::min(settings_.busy_poll * (1U << std::min(failures_, 5U)),
                                settings_.longest_retry);
    status_outstanding_ = true;
    commands_.push_back(DriverCommand::kReadStatus);
  }
}

void EngineDriver::check_drain(DrainGate& gate, MonotonicTime now) {
  if (drain_.in(Drain::State::kOpen)) {
    return;
  }
  post(DrainEvent::kChecked, gate, now);
  if (drained() && may_order_ && life_.in(EngineLife::State::kDraining)) {
    post(LifeEvent::kDrained, gate, now);
  }
}

void EngineDriver::request_change(const WantedChange& change, DrainGate& gate, MonotonicTime now) {
  if (!ready()) {
    return;
  }
  change_ = change;
  drain_limit_ = change.drain_limit;
  may_order_ = true;
  post(LifeEvent::kChangeRequested, gate, now);
  check_drain(gate, now);
}

void EngineDriver::abandon_change(DrainGate& gate, MonotonicTime now) {
  if (life_.in(EngineLife::State::kDraining)) {
    finish(DriverCommand::kFailed);
    post(LifeEvent::kChangeAbandoned, gate, now);
  }
}

void EngineDriver::set_held_drained(bool held, Duration limit, DrainGate& gate, MonotonicTime now) {
  if (!change_) {
    drain_limit_ = limit;
  }
  if (held == held_drained_) {
    return;
  }
  held_drained_ = held;
  const bool serving = life_.in(EngineLife::State::kServing);
  if (held) {
    post(DrainEvent::kDrainRequested, gate, now);
  } else if (serving) {
    post(DrainEvent::kUndrainRequested, gate, now);
  }
}

bool EngineDriver::ready() const {
  return life_.in(EngineLife::State::kServing) && failures_ == 0;
}

bool EngineDriver::out() const {
  return !life_.in(EngineLife::State::kServing) || held_drained_ || failures_ > 0;
}

std::vector<DriverCommand> EngineDriver::take_commands() {
  return std::exchange(commands_, {});
}

}  // namespace ochrespring::controller
