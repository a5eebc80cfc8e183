// Errors of reading and checking state charts.
#pragma once

#include "base/result.h"

namespace ochrespring::statechart {

enum class StatechartErrc {
  kUnreadable,    ///< The file cannot be read.
  kMalformed,     ///< Not XML, or an element or attribute outside the subset.
  kUnknownName,   ///< A state, event, guard or action that does not exist.
  kDuplicate,     ///< Two states of one name.
  kUnreachable,   ///< A state or transition that can never be taken.
  kMissing,       ///< An event that a state neither handles nor declares ignored.
  kAmbiguous,     ///< Several transitions of one state and event with no order between them.
  kNoWayToFinal,  ///< A state from which no final state can be reached.
};

/// The message names the file and the element.
using StatechartError = LayerError<StatechartErrc>;

}  // namespace ochrespring::statechart
