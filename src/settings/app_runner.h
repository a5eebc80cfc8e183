// Runs a CLI11 parser and converts its exceptions to settings errors.
#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>
#include <vector>

#include "settings/node_settings.h"

namespace ochrespring::settings {

/// Parses arguments in order. The result is the text to print if help or the version was requested,
/// and empty otherwise.
Result<std::optional<std::string>, std::vector<SettingsError>> run_app(
    CLI::App& app, std::vector<std::string> arguments, const std::string& version);

}  // namespace ochrespring::settings
