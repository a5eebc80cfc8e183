// The request classes and engines of service A of docs/design/load-decisions.md, and the checks of
// its service level.
#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load_fleet.h"

namespace ochrespring::gateway_load {

/// Minimum on-time share of a class whose demand the engines can serve. One call in twenty may be
/// late because Poisson arrivals burst at a small number of engines.
inline constexpr double kMinOnTimeShare = 0.95;
/// A class is starved if it gets less than this part of its even share of the capacity.
inline constexpr double kMinPartOfEvenShare = 0.5;

inline constexpr std::uint64_t kSeeds[] = {1, 2, 3};

inline RequestClass reviews() {
  return {.name = "reviews",
          .per_second = 12.8,
          .prompt_tokens = 9'190,
          .shared_tokens = 6'300,
          .mean_events = 1.5,
          .min_events = 1,
          .max_events = 6,
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
          .min_events = 24,
          .max_events = 171,
          .first_event = std::chrono::milliseconds(120),
          .gap = std::chrono::milliseconds(150),
          .deadline = std::chrono::seconds(15)};
}

/// Both classes at `load` times the capacity of the engines, with six nodes in three zones.
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

/// As service_a, but half of the reviews form the class `hasty`, whose rejected callers retry after
/// 20 ms and ignore the retry time of the rejection. The other callers honor it.
inline FleetOptions service_a_with_callers_ignoring_retry_after(std::vector<EngineOptions> engines,
                                                                double load, std::uint64_t seed) {
  FleetOptions options = service_a(std::move(engines), load, seed);
  options.classes[0].per_second /= 2;
  RequestClass hasty = options.classes[0];
  hasty.name = "hasty";
  options.classes.push_back(hasty);
  return options;
}

inline void set_retry_behavior(LoadFleet& fleet) {
  fleet.set_retries("hasty", std::chrono::milliseconds(20));
  fleet.set_retries("reviews", std::nullopt);
}

/// Ratio of on-time calls that random variation may explain.
inline constexpr double kChanceTolerance = 1.1;

/// Whether callers that ignore the retry time get no more calls on time than callers that honor it;
/// both have the same demand.
inline bool callers_ignoring_retry_after_gain_nothing(const LoadFleet& fleet) {
  return fleet.tally("hasty").on_time <= kChanceTolerance * fleet.tally("reviews").on_time;
}

/// `count` equal engines that prefill and decode, spread over three zones.
inline std::vector<EngineOptions> equal_engines(int count, double speed = 1) {
  std::vector<EngineOptions> engines;
  for (int i = 0; i != count; ++i) {
    engines.push_back({.speed = speed, .zone = "z" + std::to_string(1 + i % 3)});
  }
  return engines;
}

/// Checks a class whose demand the engines can serve: calls are on time and none is rejected.
inline void check_on_time(const LoadFleet& fleet, const std::string& name) {
  CAPTURE(name);
  CHECK(fleet.tally(name).ended() == fleet.tally(name).offered);
  CHECK(fleet.tally(name).on_time_share() >= kMinOnTimeShare);
  CHECK(fleet.tally(name).rejected == 0);
  CHECK(fleet.tally(name).cut_off == 0);
}

/// Checks a class when demand is `load` times the capacity: it is not starved, and no call is cut
/// off at its deadline.
inline void check_fair_share(const LoadFleet& fleet, const std::string& name, double load) {
  CAPTURE(name);
  CHECK(fleet.tally(name).ended() == fleet.tally(name).offered);
  CHECK(fleet.tally(name).on_time_share() >= kMinPartOfEvenShare / load);
  CHECK(fleet.tally(name).cut_off == 0);
}

inline constexpr Duration kWarmUp{std::chrono::seconds(4)};
inline constexpr Duration kMeasured{std::chrono::seconds(40)};

}  // namespace ochrespring::gateway_load
