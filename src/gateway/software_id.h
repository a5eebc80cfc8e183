// Identifies the software that a back end runs.
#pragma once

#include "base/strong_type.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Hash of the service and software version of a back end. Only back ends with the same one may
/// continue each other's streams.
using SoftwareId = StrongNumber<struct SoftwareIdTag>;

/// A back end whose version is unknown has a software of its own.
SoftwareId software_of(const Backend& backend);
/// Whether software_of() is the same for both.
bool run_same_software(const Backend& first, const Backend& second);

}  // namespace ochrespring::gateway
