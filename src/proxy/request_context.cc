#include "proxy/request_context.h"

#include <utility>

namespace ochrespring::proxy {

void InFlightTable::remove(const EngineId& engine) {
  const auto found = counts_.find(engine);
  if (found == counts_.end()) {
    return;
  }
  if (--found->second == 0) {
    counts_.erase(found);
  }
}

std::uint32_t InFlightTable::count(const EngineId& engine) const {
  const auto found = counts_.find(engine);
  return found == counts_.end() ? 0 : found->second;
}

void RequestContext::set_view(router::FleetViewPointer view) {
  view_ = std::move(view);
  engines_.clear();
  engines_.reserve(view_->engines.size());
  std::vector<std::pair<EngineId, ZoneName>> backends;
  backends.reserve(view_->engines.size());
  for (const router::EngineView& engine : view_->engines) {
    engines_.emplace(engine.id, &engine);
    backends.emplace_back(engine.id, engine.zone);
  }
  breakers.set_backends(backends);
  retry_budget.set_fraction(view_->policy.retry_budget);
}

const router::EngineView* RequestContext::find_engine(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : found->second;
}

void RequestContext::remember(DecisionRecord record) {
  decisions_.push_back(std::move(record));
  if (decisions_.size() > kDecisionsKept) {
    decisions_.pop_front();
  }
}

}  // namespace ochrespring::proxy
