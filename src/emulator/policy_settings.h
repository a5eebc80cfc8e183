// Parameters of a policy by name, for experiments from the command line.
#pragma once

#include <string>
#include <vector>

#include "emulator/policy.h"

namespace ochrespring::emulator {

/// Applies `key=value` to a policy; returns an empty text, or what is wrong and what is allowed.
std::string apply_setting(PolicyConfiguration& policy, const std::string& setting);

/// Names of all settings.
std::vector<std::string> setting_names();

}  // namespace ochrespring::emulator
