// A fleet of back ends under virtual time whose links the test cuts.
#pragma once

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "gateway/fleet_state.h"
#include "links/link_monitor.h"
#include "logging/logger.h"
#include "simulation/virtual_time.h"

namespace ochrespring::links::testing {

struct LinksFixture {
  simulation::VirtualTime time;
  SeededRandom random{5};
  logging::NullLogger logger;
  gateway::FleetState fleet;
  std::set<Endpoint> unreachable;  ///< Back ends to which connections fail.
  std::vector<Endpoint> probed;
  LinkMonitor links{{time, time, random, logger, fleet},
                    [this](const Endpoint& backend, std::function<void(bool)> done) {
                      probed.push_back(backend);
                      time.schedule_after(kProbeTime, [this, backend, done = std::move(done)] {
                        done(!unreachable.contains(backend));
                      });
                    }};

  static constexpr Duration kProbeTime{std::chrono::milliseconds(10)};

  explicit LinksFixture(int backends = 6) {
    for (int i = 0; i != backends; ++i) {
      gateway::Backend backend;
      backend.id = gateway::BackendId("b" + std::to_string(i));
      backend.service = ServiceName("s");
      backend.address = address(i);
      fleet.put(backend);
    }
  }
  static Endpoint address(int backend) {
    return Endpoint("10.0.0." + std::to_string(backend + 1) + ":80");
  }
  void cut_all() {
    for (const auto& [id, backend] : fleet.backends()) {
      unreachable.insert(backend.address);
    }
  }
  void run(Duration span) { time.run_until(time.now() + span); }
};

}  // namespace ochrespring::links::testing
