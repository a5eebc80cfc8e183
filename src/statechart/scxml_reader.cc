#include "statechart/scxml_reader.h"

#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>
#include <set>
#include <sstream>
#include <utility>

namespace ochrespring::statechart {

namespace {

using Tree = boost::property_tree::ptree;

constexpr const char* kAttributes = "<xmlattr>";
constexpr const char* kComment = "<xmlcomment>";
constexpr const char* kRunElement = "o:run";

/// Unwinds the recursive descent; converted to a StatechartError by read_scxml().
struct ReadFailure {
  std::string message;
};

class Reader {
 public:
  explicit Reader(std::string source) : source_(std::move(source)) {}

  Document read(const Tree& root) const {
    if (root.size() != 1 || root.front().first != "scxml") {
      fail_at("document", "the root element must be <scxml>");
    }
    return read_root(root.front().second);
  }

 private:
  [[noreturn]] void fail_at(const std::string& location, const std::string& problem) const {
    throw ReadFailure{source_ + ": " + location + ": " + problem};
  }

  void check_attributes(const Tree& element, const std::string& location,
                        const std::set<std::string>& allowed) const {
    const auto attributes = element.get_child_optional(kAttributes);
    if (!attributes) {
      return;
    }
    for (const auto& [name, value] : *attributes) {
      if (!allowed.contains(name) && !name.starts_with("xmlns")) {
        fail_at(location, "attribute '" + name + "' is outside the subset");
      }
    }
  }

  static std::string attribute(const Tree& element, const std::string& name) {
    const auto attributes = element.get_child_optional(kAttributes);
    return attributes ? attributes->get<std::string>(name, "") : "";
  }

  std::string required(const Tree& element, const std::string& name,
                       const std::string& location) const {
    std::string value = attribute(element, name);
    if (value.empty()) {
      fail_at(location, "attribute '" + name + "' is missing or empty");
    }
    return value;
  }

  static bool is_markup(const std::string& tag) { return tag == kAttributes || tag == kComment; }

  Document read_root(const Tree& element) const {
    check_attributes(element, "<scxml>", {"version", "name", "initial", "datamodel"});
    Document document;
    document.source = source_;
    document.name = required(element, "name", "<scxml>");
    for (const auto& [tag, child] : element) {
      if (is_markup(tag)) {
        continue;
      }
      if (tag != "state" && tag != "final") {
        fail_at("<scxml>", "element <" + tag + "> is outside the subset");
      }
      document.states.push_back(read_state(child, tag == "final"));
    }
    if (document.states.empty()) {
      fail_at("<scxml>", "no states");
    }
    document.initial = attribute(element, "initial");
    if (document.initial.empty()) {
      document.initial = document.states.front().id;
    }
    return document;
  }

  StateElement read_state(const Tree& element, bool final) const {
    const std::string tag = final ? "<final>" : "<state>";
    StateElement state;
    state.final = final;
    state.id = required(element, "id", tag);
    const std::string location = "state '" + state.id + "'";
    check_attributes(element, location, {"id"});
    for (const auto& [child_tag, child] : element) {
      if (is_markup(child_tag)) {
        continue;
      }
      if (child_tag == "onentry") {
        append(state.entry_actions, read_actions(child, location + " <onentry>"));
      } else if (child_tag == "onexit" && !final) {
        append(state.exit_actions, read_actions(child, location + " <onexit>"));
      } else if (child_tag == "transition" && !final) {
        const std::string place =
            location + " transition " + std::to_string(state.transitions.size() + 1);
        state.transitions.push_back(read_transition(child, place));
      } else {
        fail_at(location, "element <" + child_tag + "> is outside the subset");
      }
    }
    return state;
  }

  TransitionElement read_transition(const Tree& element, const std::string& place) const {
    TransitionElement transition;
    transition.location = place + " (event '" + attribute(element, "event") + "')";
    check_attributes(element, transition.location, {"event", "cond", "target"});
    std::istringstream names(required(element, "event", place));
    for (std::string name; names >> name;) {
      transition.events.push_back(name);
    }
    transition.guard = attribute(element, "cond");
    if (transition.guard.starts_with("!")) {
      transition.guard_negated = true;
      transition.guard.erase(0, 1);
    }
    transition.target = attribute(element, "target");
    transition.actions = read_actions(element, transition.location);
    return transition;
  }

  std::vector<std::string> read_actions(const Tree& element, const std::string& location) const {
    std::vector<std::string> actions;
    for (const auto& [tag, child] : element) {
      if (is_markup(tag)) {
        continue;
      }
      if (tag != kRunElement) {
        fail_at(location, "element <" + tag + "> is outside the subset");
      }
      check_attributes(child, location + " <o:run>", {"action"});
      actions.push_back(required(child, "action", location + " <o:run>"));
    }
    return actions;
  }

  static void append(std::vector<std::string>& to, std::vector<std::string> from) {
    to.insert(to.end(), from.begin(), from.end());
  }

  std::string source_;
};

/// Most elements of a chart. The XML parser calls itself for each level of nesting, so a text with
/// no bound could exhaust the stack.
constexpr int kMostElements = 1000;

/// Whether the text opens no more elements than that, and so nests none deeper.
bool elements_are_bounded(const std::string& xml) {
  int opened = 0;
  for (std::size_t at = xml.find('<'); at != std::string::npos; at = xml.find('<', at + 1)) {
    const bool closes = at + 1 < xml.size() && xml[at + 1] == '/';
    opened += closes ? 0 : 1;
  }
  return opened <= kMostElements;
}

}  // namespace

Result<Document, StatechartError> read_scxml(const std::string& xml, const std::string& source) {
  if (!elements_are_bounded(xml)) {
    return fail(StatechartErrc::kMalformed,
                source + ": more than " + std::to_string(kMostElements) + " elements");
  }
  try {
    std::istringstream input(xml);
    Tree root;
    boost::property_tree::read_xml(input, root,
                                   boost::property_tree::xml_parser::trim_whitespace |
                                       boost::property_tree::xml_parser::no_comments);
    return Reader(source).read(root);
  } catch (const ReadFailure& failure) {
    return fail(StatechartErrc::kMalformed, failure.message);
  } catch (const boost::property_tree::xml_parser_error& error) {
    return fail(StatechartErrc::kMalformed,
                source + ": line " + std::to_string(error.line()) + ": " + error.message());
  }
}

}  // namespace ochrespring::statechart
