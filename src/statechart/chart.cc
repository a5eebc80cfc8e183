#include "statechart/chart.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "statechart/checker.h"

namespace ochrespring::statechart {

/// Builds the tables of a document that has passed the checks.
class Compiler {
 public:
  Compiler(const Document& document, const Vocabulary& vocabulary)
      : document_(document), vocabulary_(vocabulary) {}

  Chart run() {
    chart_.document_ = document_;
    chart_.event_count_ = vocabulary_.events.size();
    number_states();
    chart_.final_.resize(chart_.state_names_.size());
    chart_.slots_.resize(chart_.state_names_.size() * chart_.event_count_);
    chart_.initial_ = state_index(document_.initial);
    for (const StateElement& state : document_.states) {
      chart_.final_[state_index(state.id)] = state.final;
      add_transitions(state);
    }
    for (const std::string& action : element(document_.initial).entry_actions) {
      chart_.initial_actions_.push_back(index_in(vocabulary_.actions, action));
    }
    return std::move(chart_);
  }

 private:
  template <class Names>
  static std::uint16_t index_in(const Names& names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return static_cast<std::uint16_t>(found - names.begin());
  }

  /// States of the vocabulary come first, so that their index is their enumerator's value.
  void number_states() {
    for (const std::string_view state : vocabulary_.states) {
      chart_.state_names_.emplace_back(state);
    }
    for (const StateElement& state : document_.states) {
      const auto& names = chart_.state_names_;
      if (std::find(names.begin(), names.end(), state.id) == names.end()) {
        chart_.state_names_.push_back(state.id);
      }
    }
  }

  StateIndex state_index(std::string_view state) const {
    return index_in(chart_.state_names_, state);
  }

  const StateElement& element(const std::string& state) const {
    return *std::find_if(document_.states.begin(), document_.states.end(),
                         [&](const StateElement& candidate) { return candidate.id == state; });
  }

  void add_transitions(const StateElement& state) {
    const StateIndex from = state_index(state.id);
    for (std::size_t event = 0; event < vocabulary_.events.size(); ++event) {
      Chart::Slot& slot = chart_.slots_[from * chart_.event_count_ + event];
      slot.first = static_cast<std::uint32_t>(chart_.transitions_.size());
      for (const TransitionElement& transition : state.transitions) {
        const auto& events = transition.events;
        if (std::find(events.begin(), events.end(), vocabulary_.events[event]) != events.end()) {
          chart_.transitions_.push_back(compile_transition(state, transition));
          ++slot.count;
        }
      }
    }
  }

  Transition compile_transition(const StateElement& state, const TransitionElement& source) {
    Transition transition;
    if (!source.guard.empty()) {
      transition.guard = index_in(vocabulary_.guards, source.guard);
      transition.guard_negated = source.guard_negated;
    }
    transition.target = state_index(source.target.empty() ? state.id : source.target);
    transition.first_action = static_cast<std::uint32_t>(chart_.actions_.size());
    if (!source.target.empty()) {
      add_actions(state.exit_actions);
    }
    add_actions(source.actions);
    if (!source.target.empty()) {
      add_actions(element(source.target).entry_actions);
    }
    transition.action_count =
        static_cast<std::uint16_t>(chart_.actions_.size() - transition.first_action);
    return transition;
  }

  void add_actions(const std::vector<std::string>& actions) {
    for (const std::string& action : actions) {
      chart_.actions_.push_back(index_in(vocabulary_.actions, action));
    }
  }

  const Document& document_;
  const Vocabulary& vocabulary_;
  Chart chart_;
};

Result<Chart, StatechartError> Chart::compile(const Document& document,
                                              const Vocabulary& vocabulary) {
  const std::vector<Finding> findings = check(document, vocabulary);
  if (findings.empty()) {
    return Compiler(document, vocabulary).run();
  }
  std::string message;
  for (const Finding& finding : findings) {
    message += message.empty() ? "" : "\n";
    message += finding.message;
  }
  return fail(findings.front().code, message);
}

}  // namespace ochrespring::statechart
