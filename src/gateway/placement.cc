#include "gateway/placement.h"

#include <algorithm>
#include <vector>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

/// Cost in tokens of one request that already runs at an engine: it slows every step a little.
constexpr double kTokensPerRunning = 60;
/// Cost in tokens of one request of others that waits there.
constexpr double kTokensPerWaiting = 3'000;
/// Cost in tokens of certain failure.
constexpr double kTokensPerFailure = 60'000;
/// Part of a shared prompt that is believed missing at its home before this node has seen it there.
constexpr double kHomeDoubt = 0.1;
/// Cost of leaving the zone for an ordinary service, in requests per slot.
constexpr double kOtherZoneCost = 0.25;
/// Cost of certain failure for an ordinary service, in requests per slot.
constexpr double kOrdinaryFailureCost = 6;
constexpr double kTieBreak = 0.02;

}  // namespace

struct Placement::Estimate {
  double cost = 0;
  std::uint64_t unread_tokens = 0;
};

PlacementChoice Placement::choose(const PlacementRequest& request, MonotonicTime now) const {
  const std::vector<const Backend*> able = candidates(request, now);
  PlacementChoice best;
  best.candidates = static_cast<std::uint32_t>(able.size());
  const Backend* home = nullptr;
  if (request.prompt != nullptr && !request.prompt->shared_key().empty()) {
    std::uint64_t heaviest = 0;
    for (const Backend* backend : able) {
      const std::uint64_t weight =
          rendezvous_weight(request.prompt->shared_key(), backend->id.value());
      if (home == nullptr || weight > heaviest) {
        home = backend;
        heaviest = weight;
      }
    }
  }
  for (const Backend* backend : able) {
    Estimate estimate = request.prompt == nullptr
                            ? estimate_ordinary(*backend, now)
                            : estimate_engine(*backend, *request.prompt, backend == home, now);
    estimate.cost *= 1 + kTieBreak * random_.unit();
    if (best.backend == nullptr || estimate.cost < best.cost) {
      best.backend = backend;
      best.cost = estimate.cost;
      best.unread_tokens = estimate.unread_tokens;
    }
  }
  return best;
}

/// Back ends that may take the request; those left alone for now only if there is no other.
std::vector<const Backend*> Placement::candidates(const PlacementRequest& request,
                                                  MonotonicTime now) const {
  std::vector<const Backend*> healthy;
  std::vector<const Backend*> ejected;
  for (const auto& [id, backend] : fleet_.backends()) {
    const bool right_role = request.role == EngineRole::kNone
                                ? backend.role != EngineRole::kPrefill
                                : backend.role == request.role;
    if (backend.service != request.service || backend.draining || !right_role ||
        request.avoid.contains(id)) {
      continue;
    }
    const BackendLoad* load = loads_.find(id);
    const bool out = load != nullptr && load->ejected(now);
    (out ? ejected : healthy).push_back(&backend);
  }
  return healthy.empty() ? ejected : healthy;
}

Placement::Estimate Placement::estimate_engine(const Backend& backend, const Prompt& prompt,
                                               bool home, MonotonicTime now) const {
  static const BackendLoad kIdle;
  const BackendLoad* known = loads_.find(backend.id);
  const BackendLoad& load = known == nullptr ? kIdle : *known;
  double missing = static_cast<double>(prompt.shared_tokens());
  if (load.holds(prompt.shared_key(), now)) {
    missing = 0;
  } else if (home) {
    missing *= kHomeDoubt;
  }
  Estimate estimate;
  const double unread = missing + static_cast<double>(prompt.own_tokens());
  estimate.unread_tokens = static_cast<std::uint64_t>(unread);
  estimate.cost = unread + static_cast<double>(load.unread_tokens()) +
                  kTokensPerRunning * load.estimated_requests(now) +
                  kTokensPerWaiting * load.estimated_waiting(now) +
                  kTokensPerFailure * load.failure_share(now);
  return estimate;
}

Placement::Estimate Placement::estimate_ordinary(const Backend& backend, MonotonicTime now) const {
  static const BackendLoad kIdle;
  const BackendLoad* known = loads_.find(backend.id);
  const BackendLoad& load = known == nullptr ? kIdle : *known;
  Estimate estimate;
  estimate.cost = (1 + load.estimated_requests(now)) / std::max<double>(backend.slots, 1) +
                  (backend.zone == zone_ ? 0 : kOtherZoneCost) +
                  kOrdinaryFailureCost * load.failure_share(now);
  return estimate;
}

}  // namespace ochrespring::gateway
