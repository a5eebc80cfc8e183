// ochrespring-bench: load, experiments, simulation, fuzzing and reports.
#include <CLI/CLI.hpp>

#include "bench/check_emulator_command.h"
#include "bench/commands.h"
#include "bench/explore_command.h"
#include "bench/fuzz_command.h"
#include "bench/ledger_command.h"
#include "bench/load_command.h"
#include "bench/overhead_command.h"
#include "bench/report_command.h"
#include "bench/simulate_command.h"
#include "bench/sweep_command.h"

int main(int argc, char** argv) {
  CLI::App app{"ochrespring-bench: load, experiments, simulation, fuzzing and reports"};
  app.require_subcommand(1);
  ochrespring::bench::register_explore_command(app);
  ochrespring::bench::register_fuzz_command(app);
  ochrespring::bench::register_ledger_command(app);
  ochrespring::bench::register_overhead_command(app);
  ochrespring::bench::register_check_emulator_command(app);
  ochrespring::bench::register_load_command(app);
  ochrespring::bench::register_report_command(app);
  ochrespring::bench::register_simulate_command(app);
  ochrespring::bench::register_sweep_command(app);
  CLI11_PARSE(app, argc, argv);
  return ochrespring::bench::kSuccess;
}
