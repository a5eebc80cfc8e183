// Renders charts for people: Graphviz and plain text.
#pragma once

#include <string>

#include "statechart/document.h"

namespace ochrespring::statechart {

/// The chart in Graphviz's dot language.
std::string render_dot(const Document& document);

/// The chart as one line per transition, grouped by state.
std::string render_text(const Document& document);

}  // namespace ochrespring::statechart
