// The list of planted bugs and the promise each must break.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "oracle/promise.h"
#include "simulation/plant.h"

namespace ochrespring::fuzz {

struct PlantedBug {
  simulation::Plant plant = simulation::Plant::kNone;
  std::string_view name;
  oracle::Promise promise = oracle::Promise::kWholeAnswer;  ///< Must be among those it breaks.
  std::string_view scenario;                                ///< Where it is looked for.
  std::string_view description;
};

const std::vector<PlantedBug>& planted_bugs();
const PlantedBug* find_plant(std::string_view name);
/// Plant by name; none for an empty or unknown name.
simulation::Plant plant_named(std::string_view name);

}  // namespace ochrespring::fuzz
