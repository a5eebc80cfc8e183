// Runs a chart: one machine per engine, lease or attempt. The owner evaluates guards and runs
// actions by enumerator, so that the compiler checks that none is forgotten.
#pragma once

#include "statechart/chart.h"

namespace ochrespring::statechart {

/// State of one run of a chart. `Definition` names the enumerations State, Event, Guard and Action
/// in the order of the chart's vocabulary. Two words; copyable.
template <class Definition>
class Machine {
 public:
  using State = typename Definition::State;
  using Event = typename Definition::Event;
  using Guard = typename Definition::Guard;
  using Action = typename Definition::Action;

  /// The chart must outlive the machine.
  explicit Machine(const Chart& chart) : chart_(&chart), state_(chart.initial()) {}

  /// Runs the entry actions of the initial state.
  template <class Owner>
  void start(Owner& owner) {
    run(chart_->initial_actions(), owner);
  }

  /// Handles an event; returns whether a transition was taken (not so in a final state). `owner`
  /// has `bool evaluate(Guard)` and `void run(Action)`. Actions see the new state; they must not
  /// post to the same machine.
  template <class Owner>
  bool post(Event event, Owner& owner) {
    const auto index = static_cast<EventIndex>(event);
    for (const Transition& transition : chart_->transitions(state_, index)) {
      if (applies(transition, owner)) {
        state_ = transition.target;
        run(chart_->actions(transition), owner);
        return true;
      }
    }
    return false;
  }

  /// Whether the machine is in a state of the vocabulary.
  bool in(State state) const { return state_ == static_cast<StateIndex>(state); }
  /// The state as an enumerator; a state outside the vocabulary has none of the named values.
  State state() const { return static_cast<State>(state_); }
  StateIndex state_index() const { return state_; }
  /// Puts the machine into a state without running actions; for exploration and tests.
  void restore(StateIndex state) { state_ = state; }
  const std::string& state_name() const { return chart_->state_name(state_); }
  bool finished() const { return chart_->is_final(state_); }

 private:
  template <class Owner>
  static bool applies(const Transition& transition, Owner& owner) {
    if (transition.guard == kNoGuard) {
      return true;
    }
    return owner.evaluate(static_cast<Guard>(transition.guard)) != transition.guard_negated;
  }

  template <class Owner>
  static void run(std::span<const ActionIndex> actions, Owner& owner) {
    for (const ActionIndex action : actions) {
      owner.run(static_cast<Action>(action));
    }
  }

  const Chart* chart_;
  StateIndex state_;
};

}  // namespace ochrespring::statechart
