// Results and errors. Each layer defines its own error codes and converts the errors of the layer
// below at its boundary.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <utility>

namespace ochrespring {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value of type T or an error of type E. Accessing the absent one terminates the program.
/// Propagate errors with BOOST_OUTCOME_TRY.
template <class T, class E>
using Result = outcome::basic_result<T, E, outcome::policy::terminate>;

/// Error of one layer: a stable code and a human-readable message.
template <class Code>
struct LayerError {
  Code code{};
  std::string message;
};

/// Makes the failure of a Result, for `return fail(FleetErrc::kUnknownService, "...")`.
template <class Code>
auto fail(Code code, std::string message) {
  return outcome::failure(LayerError<Code>{code, std::move(message)});
}

}  // namespace ochrespring
