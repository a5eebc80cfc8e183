// Runs stand-ins on one loop until a signal ends them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "http/event_loop.h"
#include "standin/service_front.h"

namespace ochrespring::standin {

/// Options that every subcommand has.
struct CommonOptions {
  std::string listen = "127.0.0.1:0";
  std::uint64_t fault_seed = 1;
  std::string faults;  ///< JSON object of fault settings to start with.
};

/// One stand-in as the runner sees it.
struct ServedStandin {
  std::string id;
  ServiceFront* front = nullptr;
  std::function<void()> drain;  ///< Refuse new work; may be empty.
  std::function<bool()> idle;   ///< Whether no work is left; may be empty: always.
};

/// Address of the stand-in at `index` when several listen from one base address: the port counts
/// up, unless it is 0.
Endpoint listen_address(const std::string& base, std::size_t index);

/// Applies the starting faults, binds, prints the addresses and runs `loop` until SIGTERM or SIGINT
/// and then until all work is done. Returns the exit code.
int serve(http::EventLoop& loop, const char* kind, const CommonOptions& options,
          const std::vector<ServedStandin>& standins);

/// Blocks the signals that serve() waits for; call before any thread starts.
void block_stop_signals();

}  // namespace ochrespring::standin
