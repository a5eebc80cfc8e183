// A state chart as read from its file, names unresolved.
#pragma once

#include <string>
#include <vector>

namespace ochrespring::statechart {

/// One <transition>. Without target and actions it declares its events ignored.
struct TransitionElement {
  std::vector<std::string> events;
  std::string guard;  ///< Name, empty for none.
  bool guard_negated = false;
  std::string target;  ///< State id, empty to stay without leaving.
  std::vector<std::string> actions;
  std::string location;  ///< For errors: the element and its place.
};

/// One <state> or <final>.
struct StateElement {
  std::string id;
  bool final = false;
  std::vector<std::string> entry_actions;
  std::vector<std::string> exit_actions;
  std::vector<TransitionElement> transitions;
};

/// One <scxml> file.
struct Document {
  std::string source;  ///< File name, for errors.
  std::string name;
  std::string initial;
  std::vector<StateElement> states;
};

}  // namespace ochrespring::statechart
