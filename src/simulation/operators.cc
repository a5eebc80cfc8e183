#include "simulation/operators.h"

#include <algorithm>
#include <utility>

#include "simulation/fleet_layout.h"

namespace ochrespring::simulation {

using operator_api::AdminErrc;
using operator_api::AdminError;
using operator_api::MutationOutcome;

namespace {

/// Without an answer for this long, an operator asks another node.
constexpr Duration kPatience = std::chrono::seconds(4);
constexpr Duration kRetryDelay = std::chrono::seconds(1);
constexpr std::uint32_t kAttempts = 4;

}  // namespace

void Operators::install(std::vector<fleet::Resource> resources) {
  begin(
      0, fleet::ApplyResources{std::move(resources), false}, [] {}, true);
}

void Operators::create_tenant(std::uint32_t node) {
  fleet::Tenant tenant;
  tenant.name = TenantName("mutation-" + std::to_string(next_mutation_));
  begin(
      node, fleet::CreateResource{tenant}, [] {}, false);
}

void Operators::drain(std::uint32_t node, const EngineId& engine, Duration span) {
  if (std::exchange(drain_under_way_[engine], true)) {
    return;
  }
  begin(
      node, fleet::DrainEngine{engine, true},
      [this, engine] { leaving_.set_drained(engine, true); }, true);
  surroundings_.time.schedule_after(span, [this, node, engine] { undrain(node + 1, engine); });
}

void Operators::undrain(std::uint32_t node, const EngineId& engine) {
  // From here on the engine may be used again: the command may take effect at any time.
  leaving_.set_drained(engine, false);
  begin(
      node, fleet::DrainEngine{engine, false},
      [this, engine] {
        leaving_.set_drained(engine, false);
        drain_under_way_[engine] = false;
      },
      true);
}

void Operators::change_role(std::uint32_t node, const EngineId& engine, std::uint64_t choice) {
  const auto document = document_at(node);
  if (!document) {
    return;
  }
  const auto found = std::ranges::find(document->engines, engine, &fleet::Engine::id);
  if (found == document->engines.end()) {
    return;
  }
  fleet::Engine wanted = *found;
  wanted.role = choice % 2 == 0 ? fleet::EngineRole::kMixed : fleet::EngineRole::kDecode;
  wanted.role_pinned = true;
  begin(
      node, fleet::UpdateResource{wanted}, [] {}, false);
}

void Operators::change_version(std::uint32_t node) {
  const auto document = document_at(node);
  if (!document || document->models.empty()) {
    return;
  }
  fleet::Model model = document->models.front();
  const bool first = model.serving_version == VersionName(kFirstVersion);
  model.serving_version = VersionName(first ? kSecondVersion : kFirstVersion);
  begin(
      node, fleet::UpdateResource{model}, [] {}, false);
}

std::shared_ptr<const fleet::FleetDocument> Operators::document_at(std::uint32_t node) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    NodeSlot& slot = *nodes_[(node + i) % nodes_.size()];
    if (slot.reachable()) {
      return slot.program()->document();
    }
  }
  return nullptr;
}

void Operators::begin(std::uint32_t node, fleet::Command command, Accepted on_accepted,
                      bool persistent) {
  auto change = std::make_shared<Change>();
  change->mutation.id = MutationId("mutation-" + std::to_string(next_mutation_++));
  change->creates_tenant = std::holds_alternative<fleet::CreateResource>(command);
  if (const auto* update = std::get_if<fleet::UpdateResource>(&command)) {
    change->mutation.expected_revision = fleet::changed_at(update->resource);
  }
  change->mutation.command = std::move(command);
  change->mutation.author = "operator";
  change->on_accepted = std::move(on_accepted);
  change->persistent = persistent;
  attempt(node, change);
}

void Operators::attempt(std::uint32_t node, const std::shared_ptr<Change>& change) {
  const std::uint32_t number = ++change->attempts;
  surroundings_.time.schedule_after(kPatience, [this, change, number] {
    if (change->attempts == number) {
      retry_later(change);
    }
  });
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    NodeSlot& slot = *nodes_[(node + i) % nodes_.size()];
    if (!slot.reachable()) {
      continue;
    }
    slot.program()->mutate(
        change->mutation,
        [this, change, number](const Result<MutationOutcome, AdminError>& result) {
          on_answer(change, number, result);
        });
    return;
  }
}

void Operators::on_answer(const std::shared_ptr<Change>& change, std::uint64_t attempt_number,
                          const Result<MutationOutcome, AdminError>& result) {
  if (change->attempts != attempt_number) {
    return;
  }
  if (!result) {
    if (result.error().code != AdminErrc::kRefused) {
      retry_later(change);
    } else {
      change->attempts = UINT32_MAX;
    }
    return;
  }
  change->attempts = UINT32_MAX;
  ++accepted_;
  surroundings_.observe(oracle::MutationAccepted{
      change->creates_tenant ? change->mutation.id : MutationId{}, result.value().revision});
  change->on_accepted();
}

void Operators::retry_later(const std::shared_ptr<Change>& change) {
  if (change->attempts >= kAttempts && !change->persistent) {
    return;
  }
  const std::uint32_t number = ++change->attempts;
  surroundings_.time.schedule_after(kRetryDelay, [this, change, number] {
    if (change->attempts == number) {
      attempt(number, change);
    }
  });
}

}  // namespace ochrespring::simulation
