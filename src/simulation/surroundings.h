// What every simulated thing shares: true time, the network, the run's randomness, the counters of
// faults and the observer.
#pragma once

#include "base/random.h"
#include "oracle/observation.h"
#include "simulation/faults.h"
#include "simulation/network.h"
#include "simulation/virtual_time.h"

namespace ochrespring::simulation {

/// References outlive everything that holds them.
struct Surroundings {
  VirtualTime& time;
  RandomSource& random;
  Network& network;
  FaultCounters& faults;
  oracle::ObservationSink& sink;

  /// Reports an observation made now.
  void observe(const oracle::Observation& observation) { sink.observe(time.now(), observation); }
};

}  // namespace ochrespring::simulation
