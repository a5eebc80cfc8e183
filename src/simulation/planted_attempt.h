// Attempts whose transport breaks a rule of BackendClient's contract, for planted bugs.
#pragma once

#include <memory>

#include "simulation/exchange.h"
#include "simulation/plant.h"

namespace ochrespring::simulation {

/// Whether a plant is one of those that start_planted_attempt() knows.
bool breaks_attempts(Plant plant);

/// An exchange seen through a faulty transport.
std::unique_ptr<proxy::Attempt> start_planted_attempt(Plant plant, const ExchangeContext& context,
                                                      BackendHost* host,
                                                      proxy::BackendRequest request,
                                                      proxy::AttemptObserver& observer);

}  // namespace ochrespring::simulation
