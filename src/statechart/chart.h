// A checked chart, its names resolved to indices so that an event costs a few table look-ups.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "statechart/document.h"
#include "statechart/errc.h"
#include "statechart/vocabulary.h"

namespace ochrespring::statechart {

using StateIndex = std::uint16_t;
using EventIndex = std::uint16_t;
using GuardIndex = std::uint16_t;
using ActionIndex = std::uint16_t;

inline constexpr GuardIndex kNoGuard = 0xFFFF;

/// One way on from a state at an event.
struct Transition {
  GuardIndex guard = kNoGuard;
  bool guard_negated = false;
  StateIndex target = 0;
  std::uint32_t first_action = 0;  ///< Exit, transition and entry actions, in this order.
  std::uint16_t action_count = 0;
};

/// Immutable; shared by all machines that run it, on any thread.
class Chart {
 public:
  /// Resolves and checks a document. Every fault is reported, one a line.
  static Result<Chart, StatechartError> compile(const Document& document,
                                                const Vocabulary& vocabulary);

  const std::string& name() const { return document_.name; }
  /// The document this chart was compiled from, for rendering.
  const Document& document() const { return document_; }
  std::size_t state_count() const { return final_.size(); }
  const std::string& state_name(StateIndex state) const { return state_names_[state]; }
  StateIndex initial() const { return initial_; }
  bool is_final(StateIndex state) const { return final_[state]; }

  /// Transitions of a state at an event, in the order their guards are tried.
  std::span<const Transition> transitions(StateIndex state, EventIndex event) const {
    const Slot slot = slots_[static_cast<std::size_t>(state) * event_count_ + event];
    return std::span(transitions_).subspan(slot.first, slot.count);
  }
  std::span<const ActionIndex> actions(const Transition& transition) const {
    return std::span(actions_).subspan(transition.first_action, transition.action_count);
  }
  /// Entry actions of the initial state.
  std::span<const ActionIndex> initial_actions() const { return initial_actions_; }

 private:
  friend class Compiler;
  struct Slot {
    std::uint32_t first = 0;
    std::uint32_t count = 0;
  };

  Chart() = default;

  Document document_;
  std::vector<std::string> state_names_;
  std::vector<bool> final_;
  StateIndex initial_ = 0;
  std::size_t event_count_ = 0;
  std::vector<Slot> slots_;
  std::vector<Transition> transitions_;
  std::vector<ActionIndex> actions_;
  std::vector<ActionIndex> initial_actions_;
};

}  // namespace ochrespring::statechart
