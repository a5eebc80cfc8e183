#include <cstdlib>
#include <map>

#include "ctl/command.h"

namespace ochrespring::ctl {

namespace {

void add_connection_options(CLI::App& app, Context& context) {
  ConnectionOptions& connection = context.connection;
  app.add_option("--node", connection.nodes,
                 "Operators' endpoint of a node; may be repeated, the next is tried when one "
                 "cannot be reached")
      ->envname("OCHRESPRING_NODES")
      ->delimiter(',')
      ->take_all()
      ->allow_extra_args(false);
  app.add_option("--tls-authority", connection.authority_file,
                 "PEM certificates to check nodes with; turns on TLS");
  auto* certificate = app.add_option("--tls-certificate", connection.certificate_file,
                                     "PEM certificate of the operator, for mutual TLS");
  auto* key = app.add_option("--tls-key", connection.private_key_file, "PEM key of the operator");
  certificate->needs(key);
  key->needs(certificate);
  app.add_option("--tls-server-name", connection.server_name,
                 "Name expected in the node's certificate instead of its address");
  app.add_option_function<double>(
         "--timeout",
         [&connection](double seconds) {
           connection.call_timeout =
               std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
         },
         "Seconds to wait for one answer")
      ->check(CLI::PositiveNumber);
  app.add_option("--rounds", connection.rounds, "Times all nodes are tried")
      ->check(CLI::PositiveNumber);
}

}  // namespace

ExitCode run(int argc, const char* const* argv, std::ostream& out, std::ostream& err) {
  Context context{{}, OutputFormat::kTable, "", out, err, ExitCode::kSuccess};
  if (const char* user = std::getenv("USER")) {
    context.author = user;
  }
  CLI::App app{"Operates an ochrespring fleet", "ochrespringctl"};
  app.require_subcommand(1);
  app.fallthrough();
  add_connection_options(app, context);
  app.add_option("--output,-o", context.format, "table, json or yaml")
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, OutputFormat>{{"table", OutputFormat::kTable},
                                              {"json", OutputFormat::kJson},
                                              {"yaml", OutputFormat::kYaml}}));
  app.add_option("--author", context.author, "Name for the history; default: the user's");
  register_file_commands(app, context);
  register_resource_commands(app, context);
  register_drain_commands(app, context);
  register_explain_command(app, context);
  register_status_command(app, context);
  register_config_command(app, context);
  register_statechart_command(app, context);
  register_completion_command(app, context);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? ExitCode::kSuccess : ExitCode::kInvalid;
  }
  return context.exit_code;
}

}  // namespace ochrespring::ctl
