// Errors of the fleet layer: what is wrong with a document, a mutation or a file, field by field.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"

namespace ochrespring::fleet {

enum class FleetErrc : std::uint8_t {
  kInvalid,            ///< One or more fields are wrong; see `fields`.
  kNotFound,           ///< The resource does not exist.
  kAlreadyExists,      ///< A resource of that name exists.
  kInUse,              ///< Other resources refer to the one to be deleted.
  kRevisionMismatch,   ///< The precondition does not hold: another change came first.
  kMutationIdReused,   ///< The mutation's id was used for another change.
  kMalformed,          ///< Text or bytes that cannot be read at all.
  kUnsupportedFormat,  ///< Written by a newer program in a format this one does not know.
};

/// One wrong field.
struct FieldError {
  std::string field;  ///< Path such as `engines[drafting-1].zone`.
  std::string message;
  std::uint32_t line = 0;  ///< Line in the file, from 1; 0 when not read from a file.

  bool operator==(const FieldError&) const = default;
};

/// Why a document, mutation or file was refused.
struct FleetError {
  FleetErrc code{};
  std::string message;
  std::vector<FieldError> fields;
};

/// Failure side of a Result, for `return fleet_failure(FleetErrc::kNotFound, "...")`.
inline auto fleet_failure(FleetErrc code, std::string message,
                          std::vector<FieldError> fields = {}) {
  return outcome::failure(FleetError{code, std::move(message), std::move(fields)});
}

}  // namespace ochrespring::fleet
