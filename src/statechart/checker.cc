#include "statechart/checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace ochrespring::statechart {

namespace {

class Checker {
 public:
  Checker(const Document& document, const Vocabulary& vocabulary)
      : document_(document), vocabulary_(vocabulary) {}

  std::vector<Finding> run() {
    check_states();
    for (const StateElement& state : document_.states) {
      check_names(state);
      check_events(state);
    }
    if (findings_.empty()) {
      check_reachable();
      check_finals_reachable();
    }
    return std::move(findings_);
  }

 private:
  using Names = std::set<std::string, std::less<>>;

  void report(StatechartErrc code, const std::string& location, const std::string& problem) {
    findings_.push_back({code, document_.source + ": " + location + ": " + problem});
  }

  static bool contains(const std::vector<std::string_view>& names, std::string_view name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  }

  static std::string quoted(std::string_view name) { return "'" + std::string(name) + "'"; }

  void check_states() {
    if (document_.name != vocabulary_.chart) {
      report(StatechartErrc::kUnknownName, "<scxml>",
             "name is " + quoted(document_.name) + ", expected " + quoted(vocabulary_.chart));
    }
    for (const StateElement& state : document_.states) {
      if (!states_.insert(state.id).second) {
        report(StatechartErrc::kDuplicate, "state " + quoted(state.id), "declared twice");
      }
    }
    if (!states_.contains(document_.initial)) {
      report(StatechartErrc::kUnknownName, "<scxml>",
             "initial state " + quoted(document_.initial) + " does not exist");
    }
    for (const std::string_view state : vocabulary_.states) {
      if (!states_.contains(state)) {
        report(StatechartErrc::kMissing, "<scxml>", "state " + quoted(state) + " is required");
      }
    }
  }

  void check_actions(const std::vector<std::string>& actions, const std::string& location) {
    for (const std::string& action : actions) {
      if (!contains(vocabulary_.actions, action)) {
        report(StatechartErrc::kUnknownName, location, "unknown action " + quoted(action));
      }
    }
  }

  void check_names(const StateElement& state) {
    const std::string location = "state " + quoted(state.id);
    check_actions(state.entry_actions, location + " <onentry>");
    check_actions(state.exit_actions, location + " <onexit>");
    for (const TransitionElement& transition : state.transitions) {
      for (const std::string& event : transition.events) {
        if (!contains(vocabulary_.events, event)) {
          report(StatechartErrc::kUnknownName, transition.location,
                 "unknown event " + quoted(event));
        }
      }
      if (!transition.guard.empty() && !contains(vocabulary_.guards, transition.guard)) {
        report(StatechartErrc::kUnknownName, transition.location,
               "unknown guard " + quoted(transition.guard));
      }
      if (!transition.target.empty() && !states_.contains(transition.target)) {
        report(StatechartErrc::kUnknownName, transition.location,
               "unknown target " + quoted(transition.target));
      }
      check_actions(transition.actions, transition.location);
    }
  }

  /// Every event must be handled in every state that is not final; guards are tried in document
  /// order, and the last transition of an event must always apply, so that one is always chosen.
  void check_events(const StateElement& state) {
    if (state.final) {
      return;
    }
    for (const std::string_view event : vocabulary_.events) {
      check_event(state, event);
    }
  }

  void check_event(const StateElement& state, std::string_view event) {
    const std::string location = "state " + quoted(state.id) + " event " + quoted(event);
    std::set<std::pair<std::string, bool>> guards;
    bool total = false;
    bool handled = false;
    for (const TransitionElement& transition : state.transitions) {
      if (std::find(transition.events.begin(), transition.events.end(), event) ==
          transition.events.end()) {
        continue;
      }
      handled = true;
      if (total) {
        report(StatechartErrc::kAmbiguous, transition.location,
               "an earlier transition always applies for event " + quoted(event));
        continue;
      }
      if (transition.guard.empty()) {
        total = true;
        continue;
      }
      if (!guards.emplace(transition.guard, transition.guard_negated).second) {
        report(StatechartErrc::kAmbiguous, transition.location,
               "guard " + quoted(transition.guard) + " stands twice for event " + quoted(event));
      }
      total = guards.contains({transition.guard, !transition.guard_negated});
    }
    if (!handled) {
      report(StatechartErrc::kMissing, location, "neither handled nor declared ignored");
    } else if (!total) {
      report(StatechartErrc::kMissing, location, "no transition applies when all guards fail");
    }
  }

  /// States reached from `start` along `edges`.
  static Names closure(const Names& start, const std::multimap<std::string, std::string>& edges) {
    Names reached = start;
    std::vector<std::string> open(start.begin(), start.end());
    while (!open.empty()) {
      const std::string state = std::move(open.back());
      open.pop_back();
      const auto [first, last] = edges.equal_range(state);
      for (auto edge = first; edge != last; ++edge) {
        if (reached.insert(edge->second).second) {
          open.push_back(edge->second);
        }
      }
    }
    return reached;
  }

  void check_reachable() {
    std::multimap<std::string, std::string> edges;
    for (const StateElement& state : document_.states) {
      for (const TransitionElement& transition : state.transitions) {
        if (!transition.target.empty()) {
          edges.emplace(state.id, transition.target);
        }
      }
    }
    const Names reached = closure({document_.initial}, edges);
    for (const StateElement& state : document_.states) {
      if (!reached.contains(state.id)) {
        report(StatechartErrc::kUnreachable, "state " + quoted(state.id), "cannot be reached");
      }
    }
  }

  void check_finals_reachable() {
    Names finals;
    std::multimap<std::string, std::string> reversed;
    for (const StateElement& state : document_.states) {
      if (state.final) {
        finals.insert(state.id);
      }
      for (const TransitionElement& transition : state.transitions) {
        if (!transition.target.empty()) {
          reversed.emplace(transition.target, state.id);
        }
      }
    }
    if (finals.empty()) {
      return;
    }
    const Names ending = closure(finals, reversed);
    for (const StateElement& state : document_.states) {
      if (!ending.contains(state.id)) {
        report(StatechartErrc::kNoWayToFinal, "state " + quoted(state.id),
               "no final state can be reached");
      }
    }
  }

  const Document& document_;
  const Vocabulary& vocabulary_;
  Names states_;
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Finding> check(const Document& document, const Vocabulary& vocabulary) {
  return Checker(document, vocabulary).run();
}

}  // namespace ochrespring::statechart
