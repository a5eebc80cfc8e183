// What every command of ochrespringctl is given.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <string>

#include "ctl/client.h"
#include "ctl/exit_code.h"
#include "ctl/output.h"

namespace ochrespring::ctl {

/// Options common to all commands, the streams, and the exit code that the command sets.
struct Context {
  ConnectionOptions connection;
  OutputFormat format = OutputFormat::kTable;
  std::string author;
  std::ostream& out;
  std::ostream& err;
  ExitCode exit_code = ExitCode::kSuccess;

  /// Client for the options; on failure reports it and returns null.
  std::unique_ptr<Client> connect();
  /// Prints a failure and sets its exit code.
  void report(const CallFailure& failure);
};

/// Options of every change.
struct ChangeOptions {
  std::string mutation_id;  ///< Empty: a fresh random one.
  std::optional<std::uint64_t> expected_revision;
  bool wait = false;
  double wait_seconds = 18;
};

/// Adds --mutation-id, --expected-revision and --wait.
void add_change_options(CLI::App& command, ChangeOptions& options);
/// Header of a change under these options.
v1::MutationHeader make_header(const Context& context, const ChangeOptions& options);
/// Prints what became of a change and sets the exit code; waits until it is in force everywhere if
/// asked to.
void finish_change(Context& context, Client& client, const ChangeOptions& options,
                   const v1::MutationHeader& header,
                   const CallResult<v1::MutationResponse>& result);

/// Adds the commands to the program; each sets `context.exit_code`.
void register_file_commands(CLI::App& app, Context& context);
void register_resource_commands(CLI::App& app, Context& context);
void register_drain_commands(CLI::App& app, Context& context);
void register_explain_command(CLI::App& app, Context& context);
void register_status_command(CLI::App& app, Context& context);
void register_config_command(CLI::App& app, Context& context);
void register_statechart_command(CLI::App& app, Context& context);
void register_completion_command(CLI::App& app, Context& context);

/// Runs the program on its arguments.
ExitCode run(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

}  // namespace ochrespring::ctl
