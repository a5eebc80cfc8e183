// Resources as JSON values and as YAML or JSON text. What is written for a file can be read back.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "fleet/resource.h"
#include "fleet/types.h"

namespace ochrespring::fleet {

/// Whether the `status` part (drain mark, revision of the last change) is written.
enum class StatusPart : std::uint8_t { kOmitted, kWritten };

/// One resource as a JSON object, fields in order of their description.
nlohmann::ordered_json to_json(const Resource& resource, StatusPart status);
/// Resources as a fleet file's top-level object, one collection per kind.
nlohmann::ordered_json to_json(const std::vector<Resource>& resources, StatusPart status);

/// Any JSON value as YAML text.
std::string to_yaml(const nlohmann::ordered_json& value);

}  // namespace ochrespring::fleet
