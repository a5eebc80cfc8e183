// Reader of the SCXML subset: flat states, `final`, transitions with `event`, `cond` (a guard's
// name, optionally after '!') and `target`, `onentry` and `onexit`. Actions are named by
// `<o:run action="name"/>` in the project's own XML namespace, as SCXML allows for executable
// content. Without `initial` the first state is the initial one.
#pragma once

#include <string>

#include "statechart/document.h"
#include "statechart/errc.h"

namespace ochrespring::statechart {

/// Parses `xml`; errors name `source` and the element. Safe on arbitrary input.
Result<Document, StatechartError> read_scxml(const std::string& xml, const std::string& source);

}  // namespace ochrespring::statechart
