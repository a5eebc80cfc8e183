// Checks of a document that need no table: names, reachability, totality and order of guards.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "statechart/document.h"
#include "statechart/errc.h"
#include "statechart/vocabulary.h"

namespace ochrespring::statechart {

/// One fault of a chart.
struct Finding {
  StatechartErrc code{};
  std::string message;  ///< Names the file and the element.
};

/// All faults of `document`; empty if it may run.
std::vector<Finding> check(const Document& document, const Vocabulary& vocabulary);

}  // namespace ochrespring::statechart
