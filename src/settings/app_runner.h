// Runs a CLI11 parser and turns its exceptions into this layer's errors.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>
#include <vector>

#include "settings/node_settings.h"

namespace ochrespring::settings {

/// Parses arguments in their order. The result holds a text to print if help or the version was
/// asked for, and nothing otherwise.
Result<std::optional<std::string>, std::vector<SettingsError>> run_app(
    CLI::App& app, std::vector<std::string> arguments, const std::string& version);

}  // namespace ochrespring::settings
