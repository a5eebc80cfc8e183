// Applies the steps of a history to the simulated world.
#pragma once

#include "fuzz/history.h"
#include "simulation/world.h"

namespace ochrespring::fuzz {

/// Does one step now.
void play(const Step& step, simulation::World& world);

}  // namespace ochrespring::fuzz
