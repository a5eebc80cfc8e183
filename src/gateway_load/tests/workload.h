// The classes and engines of service A of docs/design/load-decisions.md, and what callers are due.
#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load_fleet.h"

namespace ochrespring::gateway_load {

/// On-time share of a class whose demand the engines can serve. All calls are due; one in twenty is
/// allowed for bursts of Poisson arrivals at a few engines.
inline constexpr double kNearlyAll = 0.95;
/// Part of its even share of the capacity below which a class that waits counts as starved.
inline constexpr double kNotStarved = 0.5;

inline constexpr std::uint64_t kSeeds[] = {1, 2, 3};

inline RequestClass reviews() {
  return {.name = "reviews",
          .per_second = 12.8,
          .prompt_tokens = 9'190,
          .shared_tokens = 6'300,
          .mean_events = 1.5,
          .least_events = 1,
          .most_events = 6,
          .first_event = std::chrono::milliseconds(200),
          .gap = std::chrono::milliseconds(400),
          .deadline = std::chrono::seconds(2),
          .priority = 1};
}

inline RequestClass chats() {
  return {.name = "chats",
          .per_second = 0.23,
          .prompt_tokens = 220,
          .mean_events = 72,
          .least_events = 24,
          .most_events = 171,
          .first_event = std::chrono::milliseconds(120),
          .gap = std::chrono::milliseconds(150),
          .deadline = std::chrono::seconds(15)};
}

/// Both classes at `load` times what the engines can serve, at six nodes in three zones.
inline FleetOptions service_a(std::vector<EngineOptions> engines, double load, std::uint64_t seed) {
  FleetOptions options{.classes = {reviews(), chats()},
                       .engines = std::move(engines),
                       .node_zones = {"z1", "z2", "z3", "z1", "z2", "z3"},
                       .seed = seed};
  const double factor = load * LoadFleet(options).capacity();
  for (RequestClass& request_class : options.classes) {
    request_class.per_second *= factor;
  }
  return options;
}

/// As service_a, but half of the reviews come from callers that come back after 20 ms whatever they
/// are told: the class `hasty`. The other rejected callers come back when they are told to.
inline FleetOptions service_a_with_haste(std::vector<EngineOptions> engines, double load,
                                         std::uint64_t seed) {
  FleetOptions options = service_a(std::move(engines), load, seed);
  options.classes[0].per_second /= 2;
  RequestClass hasty = options.classes[0];
  hasty.name = "hasty";
  options.classes.push_back(hasty);
  return options;
}

inline void set_haste(LoadFleet& fleet) {
  fleet.set_retries("hasty", std::chrono::milliseconds(20));
  fleet.set_retries("reviews", std::nullopt);
}

/// Excess of calls on time that may be due to chance.
inline constexpr double kByChance = 1.1;

/// Whether as many callers that come back when they are told to are served on time as of those that
/// come back at once; demand of both is the same.
inline bool haste_gains_nothing(const LoadFleet& fleet) {
  return fleet.of("hasty").on_time <= kByChance * fleet.of("reviews").on_time;
}

/// So many engines that prefill and decode, alike, in three zones.
inline std::vector<EngineOptions> equal_engines(int count, double speed = 1) {
  std::vector<EngineOptions> engines;
  for (int i = 0; i != count; ++i) {
    engines.push_back({.speed = speed, .zone = "z" + std::to_string(1 + i % 3)});
  }
  return engines;
}

/// The engines can serve all calls of the class: all are on time, none is turned away.
inline void check_on_time(const LoadFleet& fleet, const std::string& name) {
  CAPTURE(name);
  CHECK(fleet.of(name).ended() == fleet.of(name).offered);
  CHECK(fleet.of(name).on_time_share() >= kNearlyAll);
  CHECK(fleet.of(name).rejected == 0);
  CHECK(fleet.of(name).cut_off == 0);
}

/// Demand is `load` times the capacity: the class is not starved, and no caller waits in vain until
/// its deadline.
inline void check_fair_share(const LoadFleet& fleet, const std::string& name, double load) {
  CAPTURE(name);
  CHECK(fleet.of(name).ended() == fleet.of(name).offered);
  CHECK(fleet.of(name).on_time_share() >= kNotStarved / load);
  CHECK(fleet.of(name).cut_off == 0);
}

inline constexpr Duration kWarmUp{std::chrono::seconds(4)};
inline constexpr Duration kMeasured{std::chrono::seconds(40)};

}  // namespace ochrespring::gateway_load
