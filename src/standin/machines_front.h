// HTTP front of the machine list stand-in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "standin/model/machine_table.h"
#include "standin/service_front.h"

namespace ochrespring::standin {

struct MachinesFrontSettings {
  Endpoint listen{"127.0.0.1:0"};
  std::uint64_t fault_seed = 1;
  Duration lag{std::chrono::seconds(1)};
  std::vector<external::Machine> machines;  ///< Live from the start.
};

/// Serves a MachineTable; docs/PLATFORM.md gives the calls. Used on the loop only.
class MachinesFront {
 public:
  MachinesFront(http::EventLoop& loop, const Clock& clock, const MachinesFrontSettings& settings);

  ServiceFront& front() { return front_; }
  MachineTable& table() { return table_; }

 private:
  void handle(const http::Request& request, const WriterPointer& response);
  void handle_put(const http::Request& request, const std::string& name,
                  const WriterPointer& response);

  MachineTable table_;
  Duration lag_;
  ServiceFront front_;
};

}  // namespace ochrespring::standin
