// Subcommands of ochrespring-standin.
#pragma once

#include <CLI/CLI.hpp>

namespace ochrespring::standin {

/// Each adds one subcommand that serves until SIGTERM or SIGINT and prints, for every stand-in it
/// serves, a JSON line with its id and the address it has bound.
void register_key_value_command(CLI::App& app);
void register_machines_command(CLI::App& app);
void register_weights_command(CLI::App& app);
void register_engine_command(CLI::App& app);
void register_relay_command(CLI::App& app);

}  // namespace ochrespring::standin
