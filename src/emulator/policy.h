// The policies a run can be given: a router, a queue and a planner, with the roles engines start
// in.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/deployment.h"
#include "planner/goodput_planner.h"
#include "planner/planner.h"
#include "planner/reactive_planner.h"
#include "router/goodput_router.h"
#include "router/tenant_queue.h"

namespace ochrespring::emulator {

/// How many engines start in each role; engines are assigned zone by zone in turn.
struct RoleSplit {
  std::uint32_t prefill = 0;
  std::uint32_t decode = 0;
  std::uint32_t mixed = 0;

  bool operator==(const RoleSplit&) const = default;
};

enum class RouterKind : std::uint8_t { kGoodput, kLeastRequests };
enum class PlannerKind : std::uint8_t { kNone, kReactive, kGoodput, kSchedule };

/// A change of the fleet's split at a set time, as a clairvoyant plan contains.
struct ScheduledSplit {
  Duration at{};
  RoleSplit split;
};

/// Everything that makes up a policy.
struct PolicyConfiguration {
  std::string name;
  RouterKind router = RouterKind::kLeastRequests;
  router::GoodputRouterParameters router_parameters;
  router::TenantQueueKind queue = router::TenantQueueKind::kFifo;
  router::TenantQueueLimits queue_limits;
  bool drop_late = false;  ///< Answer waiting requests at once when their limit has passed.
  PlannerKind planner = PlannerKind::kNone;
  planner::ReactiveParameters reactive;
  planner::GoodputPlannerParameters goodput_planner;
  std::vector<ScheduledSplit> schedule;
  RoleSplit initial;
  std::uint32_t prefill_chunk_tokens = 512;
  bool omniscient = false;  ///< No lags, exact output lengths: for the upper bound only.
};

/// The policy of this name with its defaults for a deployment: ochrespring, static, reactive or
/// clairvoyant (static and clairvoyant still need a search); empty for any other name.
std::optional<PolicyConfiguration> find_policy(const std::string& name,
                                               const Deployment& deployment);

/// Role of each engine under a split. Roles go round the zones, so that each zone has a mixture.
std::vector<fleet::EngineRole> assign_roles(const RoleSplit& split, std::uint32_t zones);

}  // namespace ochrespring::emulator
