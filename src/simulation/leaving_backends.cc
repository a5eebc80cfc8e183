#include "simulation/leaving_backends.h"

namespace ochrespring::simulation {

void LeavingBackends::place(const EngineId& backend, const ServerId& server) {
  backends_[backend].server = server;
}

void LeavingBackends::set_drained(const EngineId& backend, bool drained) {
  Backend& state = backends_.at(backend);
  state.drained = drained;
  report(backend, state);
}

void LeavingBackends::on_server_returns(const ServerId& server) {
  for (auto& [id, backend] : backends_) {
    if (backend.server == server) {
      backend.listed = false;
      report(id, backend);
    }
  }
}

void LeavingBackends::refresh() {
  std::set<std::string> leaving;
  for (const external::Machine& machine : machines_.list()) {
    if (machine.state == external::MachineState::kLeaving) {
      leaving.insert(machine.name);
    }
  }
  std::set<std::string> returning;
  for (const external::Machine& machine : machines_.truth()) {
    if (machine.state == external::MachineState::kLive) {
      returning.insert(machine.name);
    }
  }
  for (auto& [id, backend] : backends_) {
    const std::string& server = backend.server.value();
    backend.listed = leaving.contains(server) && !returning.contains(server);
    report(id, backend);
  }
}

void LeavingBackends::report(const EngineId& id, Backend& backend) {
  const bool now = backend.drained || backend.listed;
  if (now != backend.reported) {
    backend.reported = now;
    surroundings_.observe(oracle::BackendLeaving{id, now});
  }
}

}  // namespace ochrespring::simulation
