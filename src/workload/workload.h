// A workload as a file describes it: classes of requests whose rates change over time, and the
// tenants that send them. docs/EXPERIMENTS.md describes the file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "workload/errc.h"

namespace ochrespring::workload {

/// Lognormal count of tokens, cut to [minimum, maximum].
struct TokenDistribution {
  double median = 1;
  double sigma = 0;  ///< Standard deviation of the logarithm; 0 is a constant.
  std::uint32_t minimum = 1;
  std::uint32_t maximum = 32'768;
};

/// Rate of new requests (or sessions) at a point in time.
struct RatePoint {
  Duration at{};
  double per_second = 0;
};

/// Repeated stretches of a higher rate.
struct Bursts {
  Duration every{};  ///< Zero: none.
  Duration length{};
  double factor = 1;
};

/// A sinusoid over the rate: a day, squeezed.
struct DayCurve {
  Duration period{};     ///< Zero: none.
  double amplitude = 0;  ///< Share of the rate, 0 to 1.
  Duration phase{};      ///< Shifts the curve to later.
};

/// How the rate of a class changes over time.
struct RateCurve {
  std::vector<RatePoint> points;  ///< In order of time; the last one holds to the end.
  bool ramp = false;              ///< Straight lines between points instead of steps.
  Bursts bursts;
  DayCurve day;

  /// Rate at a time since the start.
  double at(Duration time) const;
  /// Highest value the rate can take.
  double maximum() const;
};

/// Sessions of several turns; each turn's prompt begins with all turns before it.
struct SessionShape {
  double mean_turns = 1;  ///< Geometric, at least 1.
  Duration mean_think{};  ///< Exponential time between turns, whether or not answered (open loop).
  TokenDistribution new_tokens;  ///< Prompt tokens each later turn adds.
};

/// One kind of request.
struct RequestClass {
  std::string name;
  ServiceName service;
  ModelName model;  ///< Empty for ordinary services.
  std::uint8_t priority = 1;
  TokenDistribution prompt;
  TokenDistribution output;
  std::uint32_t shared_prefix_tokens = 0;  ///< Instructions that every prompt of the class shares.
  SessionShape session;
  RateCurve rate;
};

/// A tenant's part of the traffic.
struct TenantShare {
  TenantName name;
  std::uint32_t weight = 1;  ///< Of the fair queue.
  double share = 1;          ///< Of arrivals, relative to the other tenants.
  Duration flood_from{};     ///< From here until `flood_until` its arrivals are multiplied.
  Duration flood_until{};
  double flood_factor = 1;
};

struct Workload {
  std::string name;
  std::string deployment;  ///< gateway or auction.
  std::string description;
  Duration duration{};
  std::uint32_t lasting_shifts = 0;  ///< Changes of the mix that outlast a role change's price.
  std::vector<RequestClass> classes;
  std::vector<TenantShare> tenants;
};

/// Reads and checks a workload file; an error names the field and the allowed range.
Result<Workload, WorkloadError> load_workload(const std::string& path);
/// The same from text, for tests.
Result<Workload, WorkloadError> parse_workload(const std::string& text);

}  // namespace ochrespring::workload
