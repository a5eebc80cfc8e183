#include "statechart/render.h"

#include <vector>

namespace ochrespring::statechart {

namespace {

std::string joined(const std::vector<std::string>& words, const std::string& separator) {
  std::string text;
  for (const std::string& word : words) {
    text += text.empty() ? "" : separator;
    text += word;
  }
  return text;
}

std::string guard_text(const TransitionElement& transition) {
  if (transition.guard.empty()) {
    return "";
  }
  return " [" + std::string(transition.guard_negated ? "!" : "") + transition.guard + "]";
}

std::string actions_text(const std::vector<std::string>& actions) {
  return actions.empty() ? "" : " / " + joined(actions, ", ");
}

bool ignores(const TransitionElement& transition) {
  return transition.target.empty() && transition.actions.empty() && transition.guard.empty();
}

}  // namespace

std::string render_dot(const Document& document) {
  std::string text = "digraph \"" + document.name + "\" {\n  rankdir=LR;\n";
  text += "  initial [shape=point];\n  initial -> \"" + document.initial + "\";\n";
  for (const StateElement& state : document.states) {
    const std::string shape = state.final ? "doublecircle" : "box";
    text += "  \"" + state.id + "\" [shape=" + shape + ", style=rounded, label=\"" + state.id;
    text += state.entry_actions.empty() ? "" : "\\nentry" + actions_text(state.entry_actions);
    text += state.exit_actions.empty() ? "" : "\\nexit" + actions_text(state.exit_actions);
    text += "\"];\n";
  }
  for (const StateElement& state : document.states) {
    for (const TransitionElement& transition : state.transitions) {
      if (ignores(transition)) {
        continue;
      }
      const std::string& target = transition.target.empty() ? state.id : transition.target;
      text += "  \"" + state.id + "\" -> \"" + target + "\" [label=\"";
      text += joined(transition.events, "\\n") + guard_text(transition);
      text += actions_text(transition.actions) + "\"];\n";
    }
  }
  return text + "}\n";
}

std::string render_text(const Document& document) {
  std::string text = document.name + " (initial " + document.initial + ")\n";
  for (const StateElement& state : document.states) {
    text += state.id + (state.final ? " (final)" : "") + "\n";
    text += state.entry_actions.empty() ? "" : "  entry" + actions_text(state.entry_actions) + "\n";
    text += state.exit_actions.empty() ? "" : "  exit" + actions_text(state.exit_actions) + "\n";
    for (const TransitionElement& transition : state.transitions) {
      text += "  " + joined(transition.events, " | ") + guard_text(transition);
      if (ignores(transition)) {
        text += " ignored\n";
        continue;
      }
      text += transition.target.empty() ? "" : " -> " + transition.target;
      text += actions_text(transition.actions) + "\n";
    }
  }
  return text;
}

}  // namespace ochrespring::statechart
