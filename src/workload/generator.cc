// Arrivals of a workload: Poisson processes whose rates follow the file's curves, by thinning.
#include <algorithm>
#include <cmath>
#include <numbers>

#include "base/hash.h"
#include "base/random.h"
#include "workload/trace.h"

namespace ochrespring::workload {
namespace {

/// Longest session, whatever the file's mean.
constexpr std::uint32_t kMaximumTurns = 64;

/// Standard normal number by the Box-Muller transform: the standard library's own distribution
/// differs between implementations.
double standard_normal(RandomSource& random) {
  const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
  return radius * std::cos(2 * std::numbers::pi * random.unit());
}

std::uint32_t draw_tokens(const TokenDistribution& tokens, RandomSource& random) {
  const double drawn = tokens.median * std::exp(tokens.sigma * standard_normal(random));
  const double cut =
      std::clamp(drawn, static_cast<double>(tokens.minimum), static_cast<double>(tokens.maximum));
  return static_cast<std::uint32_t>(std::lround(cut));
}

double flood_factor(const TenantShare& tenant, Duration at) {
  const bool flooding = at >= tenant.flood_from && at < tenant.flood_until;
  return flooding ? tenant.flood_factor : 1;
}

/// Arrivals multiply by this when tenants flood: the others' arrivals stay what they were.
double total_share(const Workload& workload, Duration at) {
  double total = 0;
  for (const TenantShare& tenant : workload.tenants) {
    total += tenant.share * flood_factor(tenant, at);
  }
  return total;
}

double base_share(const Workload& workload) {
  double total = 0;
  for (const TenantShare& tenant : workload.tenants) {
    total += tenant.share;
  }
  return total;
}

const TenantShare& draw_tenant(const Workload& workload, Duration at, RandomSource& random) {
  double pick = random.unit() * total_share(workload, at);
  for (const TenantShare& tenant : workload.tenants) {
    pick -= tenant.share * flood_factor(tenant, at);
    if (pick < 0) {
      return tenant;
    }
  }
  return workload.tenants.back();
}

void add_session(const Workload& workload, const RequestClass& shape, Duration start,
                 RandomSource& random, Trace& trace) {
  TraceRequest request;
  request.class_name = shape.name;
  request.tenant = draw_tenant(workload, start, random).name;
  request.service = shape.service;
  request.model = shape.model;
  request.priority = shape.priority;
  request.shared_prefix_tokens = shape.shared_prefix_tokens;
  request.shared_prefix_seed = stable_hash(shape.name);
  request.content_seed = random.next();
  request.arrival = start;
  std::uint32_t turns = 1;
  while (turns < kMaximumTurns && random.chance(1 - 1 / shape.session.mean_turns)) {
    ++turns;
  }
  if (turns > 1) {
    request.session = shape.name + "-" + std::to_string(request.content_seed);
  }
  request.prompt_tokens = draw_tokens(shape.prompt, random);
  for (std::uint32_t turn = 0; turn < turns && request.arrival < workload.duration; ++turn) {
    request.output_tokens = draw_tokens(shape.output, random);
    trace.push_back(request);
    request.arrival += from_seconds(random.exponential(to_seconds(shape.session.mean_think)));
    const std::uint32_t added = draw_tokens(shape.session.new_tokens, random);
    request.prompt_tokens =
        std::min(request.prompt_tokens + request.output_tokens + added, shape.prompt.maximum);
  }
}

void add_class(const Workload& workload, const RequestClass& shape, RandomSource& random,
               Trace& trace) {
  double highest_share = total_share(workload, Duration::zero());
  for (const TenantShare& tenant : workload.tenants) {
    highest_share = std::max(highest_share, total_share(workload, tenant.flood_from));
  }
  const double scale = 1 / base_share(workload);
  const double highest = shape.rate.maximum() * highest_share * scale;
  if (highest <= 0) {
    return;
  }
  Duration at{};
  while (true) {
    at += from_seconds(random.exponential(1 / highest));
    if (at >= workload.duration) {
      return;
    }
    const double rate = shape.rate.at(at) * total_share(workload, at) * scale;
    if (random.unit() * highest < rate) {
      add_session(workload, shape, at, random, trace);
    }
  }
}

}  // namespace

double RateCurve::at(Duration time) const {
  std::size_t next = 0;
  while (next < points.size() && points[next].at <= time) {
    ++next;
  }
  double rate = next == 0 ? 0 : points[next - 1].per_second;
  if (ramp && next > 0 && next < points.size()) {
    const RatePoint& from = points[next - 1];
    const RatePoint& to = points[next];
    rate += (to.per_second - from.per_second) * to_seconds(time - from.at) /
            to_seconds(to.at - from.at);
  }
  if (bursts.every > Duration::zero() && time % bursts.every < bursts.length &&
      time >= bursts.every) {
    rate *= bursts.factor;
  }
  if (day.period > Duration::zero()) {
    const double turn = to_seconds(time - day.phase) / to_seconds(day.period);
    rate *= 1 + day.amplitude * std::sin(2 * std::numbers::pi * turn);
  }
  return rate;
}

double RateCurve::maximum() const {
  double highest = 0;
  for (const RatePoint& point : points) {
    highest = std::max(highest, point.per_second);
  }
  return highest * std::max(1.0, bursts.factor) * (1 + day.amplitude);
}

Trace generate_trace(const Workload& workload, std::uint64_t seed) {
  Trace trace;
  for (std::size_t i = 0; i < workload.classes.size(); ++i) {
    // A stream of its own for each class: editing one leaves the others' arrivals as they were.
    SeededRandom random(combine_hashes(seed, stable_hash(workload.classes[i].name)));
    add_class(workload, workload.classes[i], random, trace);
  }
  std::stable_sort(trace.begin(), trace.end(),
                   [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
  std::uint64_t id = 0;
  for (TraceRequest& request : trace) {
    request.id = ++id;
  }
  return trace;
}

}  // namespace ochrespring::workload
