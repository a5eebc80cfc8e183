// A process's client of the simulated machine list.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "external/machine_list.h"
#include "simulation/remote_call.h"
#include "standin/model/machine_table.h"

namespace ochrespring::simulation {

/// Name of the list on the network.
inline const HostName kMachineListHost = "machine-list:80";

class MachineListClient final : public external::MachineList {
 public:
  MachineListClient(Network& network, standin::MachineTable& table, ProcessRuntime& process,
                    HostName self)
      : network_(network), table_(table), process_(process), self_(std::move(self)) {}

  void list(external::ExternalCallback<std::vector<external::Machine>> done) override {
    using Machines = std::vector<external::Machine>;
    CallRoute route;
    route.from = self_;
    route.to = kMachineListHost;
    remote_call<Machines>(
        network_, process_, route,
        [table = &table_] {
          return std::optional<Result<Machines, external::ExternalError>>(table->list());
        },
        std::move(done));
  }

 private:
  Network& network_;
  standin::MachineTable& table_;
  ProcessRuntime& process_;
  HostName self_;
};

}  // namespace ochrespring::simulation
