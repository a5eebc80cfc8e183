#include "emulator/policy.h"

namespace ochrespring::emulator {

std::optional<PolicyConfiguration> find_policy(const std::string& name,
                                               const Deployment& /*deployment*/) {
  PolicyConfiguration policy;
  policy.name = name;
  policy.initial = {4, 5, 0};
  policy.queue_limits.total = 1024;
  policy.queue_limits.per_tenant = 512;
  if (name == "static") {
    return policy;
  }
  if (name == "reactive") {
    policy.planner = PlannerKind::kReactive;
    return policy;
  }
  if (name == "ochrespring" || name == "clairvoyant") {
    policy.router = RouterKind::kGoodput;
    policy.router_parameters.admit_by_prediction = true;
    policy.router_parameters.use_prefix_belief = true;
    policy.router_parameters.pack_decodes = true;
    policy.queue = router::TenantQueueKind::kStride;
    policy.drop_late = true;
    policy.planner = PlannerKind::kGoodput;
    policy.initial = {0, 0, 9};
    policy.omniscient = name == "clairvoyant";
    return policy;
  }
  return std::nullopt;
}

std::vector<fleet::EngineRole> assign_roles(const RoleSplit& split, std::uint32_t /*zones*/) {
  std::vector<fleet::EngineRole> roles;
  roles.insert(roles.end(), split.prefill, fleet::EngineRole::kPrefill);
  roles.insert(roles.end(), split.mixed, fleet::EngineRole::kMixed);
  roles.insert(roles.end(), split.decode, fleet::EngineRole::kDecode);
  return roles;
}

}  // namespace ochrespring::emulator
