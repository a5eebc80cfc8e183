// Options that several subcommands of ochrespring-standin share.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "base/time.h"
#include "standin/runner.h"

namespace ochrespring::standin {

/// Names of the stand-ins one process serves.
struct IdOptions {
  std::vector<std::string> ids;
  std::string prefix;
  std::uint32_t count = 1;  ///< Used without `ids`: PREFIX-1, PREFIX-2, ...
};

void add_common_options(CLI::App& command, CommonOptions& options);
void add_id_options(CLI::App& command, IdOptions& options);
std::vector<std::string> ids_of(const IdOptions& options);
Duration milliseconds_span(double milliseconds);

}  // namespace ochrespring::standin
