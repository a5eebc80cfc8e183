#include "controller/desired_state.h"

#include <algorithm>

namespace ochrespring::controller {

namespace {

using engine::OrderAction;

WantedChange change(const fleet::Engine& engine, const fleet::FleetDocument& document,
                    OrderAction action, const char* explanation) {
  WantedChange wanted;
  wanted.order.engine = engine.id;
  wanted.order.action = action;
  wanted.reason = ChangeReason::kConfiguration;
  wanted.explanation = explanation;
  wanted.drain_limit = drain_limit(engine, document);
  return wanted;
}

template <class Range>
bool contains(const Range& range, const AdapterName& adapter) {
  return std::find(range.begin(), range.end(), adapter) != range.end();
}

VersionName serving_version(const ModelName& model, const fleet::FleetDocument& document) {
  for (const fleet::Model& candidate : document.models) {
    if (candidate.name == model) {
      return candidate.serving_version;
    }
  }
  return VersionName();
}

std::optional<WantedChange> adapter_change(const fleet::Engine& engine,
                                           const fleet::FleetDocument& document,
                                           const engine::EngineStatus& status) {
  for (const AdapterName& adapter : engine.adapters) {
    if (!contains(status.adapters, adapter)) {
      WantedChange wanted =
          change(engine, document, OrderAction::kLoadAdapter, "configured adapter is not loaded");
      wanted.order.adapter = adapter;
      return wanted;
    }
  }
  for (const AdapterName& adapter : status.adapters) {
    if (!contains(engine.adapters, adapter)) {
      WantedChange wanted =
          change(engine, document, OrderAction::kUnloadAdapter, "loaded adapter is not configured");
      wanted.order.adapter = adapter;
      return wanted;
    }
  }
  return std::nullopt;
}

}  // namespace

bool needs_drain(OrderAction action) {
  return action == OrderAction::kChangeRole || action == OrderAction::kLoadModel ||
         action == OrderAction::kLoadAdapter || action == OrderAction::kUnloadAdapter;
}

bool loads_weights(OrderAction action) {
  return action == OrderAction::kLoadModel || action == OrderAction::kLoadAdapter;
}

bool is_ordinary(const fleet::Engine& engine, const fleet::FleetDocument& document) {
  if (engine.role == fleet::EngineRole::kOrdinary) {
    return true;
  }
  return std::any_of(document.services.begin(), document.services.end(), [&](const auto& service) {
    return service.name == engine.service && service.kind == fleet::ServiceKind::kOrdinary;
  });
}

Duration drain_limit(const fleet::Engine& engine, const fleet::FleetDocument& document) {
  for (const fleet::Service& service : document.services) {
    if (service.name == engine.service) {
      return service.limits.drain;
    }
  }
  return fleet::ServiceLimits{}.drain;
}

std::optional<WantedChange> next_configured_change(const fleet::Engine& engine,
                                                   const fleet::FleetDocument& document,
                                                   const engine::EngineStatus& status) {
  const VersionName version = serving_version(engine.model, document);
  const bool other_version = !version.empty() && status.version != version;
  if (!engine.model.empty() && (status.model != engine.model || other_version)) {
    WantedChange wanted = change(engine, document, OrderAction::kLoadModel,
                                 "loaded model or version differs from the configuration");
    wanted.order.model = engine.model;
    wanted.order.version = version;
    return wanted;
  }
  if (engine.role_pinned && status.role != engine.role) {
    WantedChange wanted =
        change(engine, document, OrderAction::kChangeRole, "role is pinned by the configuration");
    wanted.order.role = engine.role;
    return wanted;
  }
  return adapter_change(engine, document, status);
}

}  // namespace ochrespring::controller
