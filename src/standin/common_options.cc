#include "standin/common_options.h"

namespace ochrespring::standin {

void add_common_options(CLI::App& command, CommonOptions& options) {
  command
      .add_option("--listen", options.listen,
                  "IP address and port; port 0 picks a free one; several stand-ins count up")
      ->capture_default_str();
  command.add_option("--fault-seed", options.fault_seed, "seed of the faults' draws")
      ->capture_default_str();
  command.add_option("--faults", options.faults, "JSON object of fault settings to start with");
}

void add_id_options(CLI::App& command, IdOptions& options) {
  command.add_option("--id", options.ids, "name; repeatable: one process serves several");
  command.add_option("--id-prefix", options.prefix, "names PREFIX-1 to PREFIX-COUNT")
      ->capture_default_str();
  command.add_option("--count", options.count, "how many to serve when no --id is given")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
}

std::vector<std::string> ids_of(const IdOptions& options) {
  if (!options.ids.empty()) {
    return options.ids;
  }
  std::vector<std::string> ids;
  for (std::uint32_t number = 1; number <= options.count; ++number) {
    ids.push_back(options.prefix + "-" + std::to_string(number));
  }
  return ids;
}

Duration milliseconds_span(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace ochrespring::standin
