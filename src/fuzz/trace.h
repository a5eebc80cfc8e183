// Prints the observations of a run, for people who look into a failure.
#pragma once

#include <ostream>

#include "fuzz/runner.h"

namespace ochrespring::fuzz {

/// Trace that writes one line per observation. `out` must outlive the run. Repeated reports of one
/// revision by one node are left out.
ObservationTrace print_trace(std::ostream& out);

}  // namespace ochrespring::fuzz
