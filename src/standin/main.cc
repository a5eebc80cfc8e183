// ochrespring-standin: small stand-ins for the platform's services and the back ends, with faults
// that can be set while they run. docs/PLATFORM.md describes their protocol.
#include <CLI/CLI.hpp>
#include <csignal>

#include "standin/commands.h"
#include "standin/runner.h"

int main(int argc, char** argv) {
  ochrespring::standin::block_stop_signals();
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"ochrespring-standin: stand-ins for the platform's services and the back ends"};
  app.require_subcommand(1);
  ochrespring::standin::register_key_value_command(app);
  ochrespring::standin::register_machines_command(app);
  ochrespring::standin::register_weights_command(app);
  ochrespring::standin::register_engine_command(app);
  ochrespring::standin::register_relay_command(app);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
