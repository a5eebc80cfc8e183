// Checks of a whole fleet document and of single resources.
#pragma once

#include <vector>

#include "fleet/errc.h"
#include "fleet/resource.h"
#include "fleet/types.h"

namespace ochrespring::fleet {

/// Wrong fields of one resource by itself: names, ranges, enumerators. Empty if valid.
std::vector<FieldError> validate_fields(const Resource& resource);

/// Every wrong field: names, ranges, duplicates and references between resources. Empty if valid.
std::vector<FieldError> validate(const FleetDocument& document);

}  // namespace ochrespring::fleet
