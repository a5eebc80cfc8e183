// Which back ends are leaving, by operators' drains and by the machine list; told to the oracle.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/surroundings.h"
#include "standin/model/machine_table.h"

namespace ochrespring::simulation {

class LeavingBackends {
 public:
  LeavingBackends(Surroundings surroundings, standin::MachineTable& machines)
      : surroundings_(surroundings), machines_(machines) {}

  /// A back end runs on a server.
  void place(const EngineId& backend, const ServerId& server);
  /// A drain was accepted, or its end was asked for.
  void set_drained(const EngineId& backend, bool drained);
  /// A server returns: it may be used from now on, whoever knows.
  void on_server_returns(const ServerId& server);
  /// Reads the list as nodes do; called regularly.
  void refresh();

 private:
  struct Backend {
    ServerId server;
    bool drained = false;
    bool listed = false;  ///< The list shows its server as leaving.
    bool reported = false;
  };

  void report(const EngineId& id, Backend& backend);

  Surroundings surroundings_;
  standin::MachineTable& machines_;
  std::map<EngineId, Backend> backends_;
};

}  // namespace ochrespring::simulation
