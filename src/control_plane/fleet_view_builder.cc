#include "control_plane/fleet_view_builder.h"

namespace ochrespring::control_plane {

namespace {

/// What the engine itself last said wins over what the configuration starts it with.
void apply_status(const engine::EngineStatus& status, router::EngineView& view) {
  view.role = status.role;
  view.model = status.model;
  view.version = status.version;
  view.adapters = status.adapters;
  view.phase = status.phase;
}

router::EngineView view_of(const fleet::Engine& engine, const FleetViewInput& input) {
  router::EngineView view;
  view.id = engine.id;
  view.service = engine.service;
  view.server = engine.server;
  view.zone = engine.zone;
  view.region = engine.region;
  view.endpoint = engine.endpoint;
  view.role = engine.role;
  view.model = engine.model;
  view.adapters = engine.adapters;
  const grants::EngineGrant grant = input.grant(engine.id);
  view.draining = engine.drained || grant.draining || input.leaving(engine.server);
  view.moving_streams = grant.moving;
  view.dispatchable_until = grant.dispatchable_until;
  if (const auto load = input.load(engine)) {
    view.load = load->report;
    view.load_taken = load->taken;
  }
  const EngineObservation* observation = input.observation(engine.id);
  if (observation != nullptr && observation->status) {
    apply_status(*observation->status, view);
  }
  return view;
}

}  // namespace

router::FleetViewPointer build_fleet_view(const FleetViewInput& input) {
  auto view = std::make_shared<router::FleetView>();
  view->revision = input.document.revision;
  view->sequence = input.sequence;
  view->services = input.document.services;
  view->models = input.document.models;
  view->tenants = input.document.tenants;
  view->policy = input.document.policy;
  view->engines.reserve(input.document.engines.size());
  for (const fleet::Engine& engine : input.document.engines) {
    view->engines.push_back(view_of(engine, input));
  }
  return view;
}

}  // namespace ochrespring::control_plane
