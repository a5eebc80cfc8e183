// ochrespringd: one node of an ochrespring fleet.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/time.h"
#include "logging/glog_logger.h"
#include "node/node.h"
#include "process/signals.h"
#include "settings/node_settings.h"

namespace {

/// Exit codes; documented in docs/OPERATIONS.md.
enum ExitCode : int {
  kStopped = 0,      ///< A planned stop is over, or --check found no mistake.
  kBadSettings = 2,  ///< The settings have mistakes; each is a line on standard error.
  kCannotStart = 3,  ///< An address or a certificate cannot be used.
};

int report(const std::vector<ochrespring::settings::SettingsError>& errors) {
  for (const auto& error : errors) {
    std::fprintf(stderr, "ochrespringd: %s\n", error.message.c_str());
  }
  return kBadSettings;
}

int serve(const ochrespring::settings::NodeSettings& settings) {
  const ochrespring::SystemClock clock;
  ochrespring::logging::GlogLogger logger("ochrespringd", settings.log_level, clock);
  ochrespring::node::Node node(settings, clock, logger);
  const auto bound = node.bind();
  if (!bound) {
    std::fprintf(stderr, "ochrespringd: %s\n", bound.error().message.c_str());
    return kCannotStart;
  }
  const ochrespring::process::SignalWatcher signals(
      [&node](ochrespring::process::ProcessSignal signal) { node.on_signal(signal); });
  node.run();
  // Calls to the platform may still be open, and watches always are; the system closes their
  // connections. Nothing in this process needs to outlive it.
  std::_Exit(kStopped);
}

}  // namespace

int main(int argc, char** argv) {
  using ochrespring::settings::Command;
  ochrespring::process::block_signals();
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto parsed = ochrespring::settings::parse_command_line(arguments);
  if (!parsed) {
    return report(parsed.error());
  }
  if (parsed.value().command == Command::kHelp) {
    std::fputs(parsed.value().text.c_str(), stdout);
    return kStopped;
  }
  if (parsed.value().command == Command::kCheck) {
    std::puts("settings are valid");
    return kStopped;
  }
  return serve(parsed.value().settings);
}
