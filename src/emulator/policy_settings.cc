#include "emulator/policy_settings.h"

#include <cstdlib>
#include <functional>
#include <map>

namespace ochrespring::emulator {
namespace {

using Setter = std::function<void(PolicyConfiguration&, double)>;

/// Every setting takes a number; switches take 0 or 1.
const std::map<std::string, Setter>& setters() {
  static const std::map<std::string, Setter> table{
      {"router.goodput",
       [](PolicyConfiguration& p, double v) {
         p.router = v != 0 ? RouterKind::kGoodput : RouterKind::kLeastRequests;
       }},
      {"router.correct_lag",
       [](PolicyConfiguration& p, double v) { p.router_parameters.correct_lag = v != 0; }},
      {"router.others_share",
       [](PolicyConfiguration& p, double v) { p.router_parameters.others_share = v; }},
      {"router.own_weight",
       [](PolicyConfiguration& p, double v) { p.router_parameters.own_weight = v; }},
      {"router.queue_doubt",
       [](PolicyConfiguration& p, double v) { p.router_parameters.queue_doubt = v; }},
      {"router.outstanding_weight",
       [](PolicyConfiguration& p, double v) { p.router_parameters.outstanding_weight = v; }},
      {"router.packing_share",
       [](PolicyConfiguration& p, double v) { p.router_parameters.packing_share = v; }},
      {"router.prefix_belief",
       [](PolicyConfiguration& p, double v) { p.router_parameters.use_prefix_belief = v != 0; }},
      {"router.disaggregate",
       [](PolicyConfiguration& p, double v) { p.router_parameters.disaggregate = v != 0; }},
      {"router.pack_decodes",
       [](PolicyConfiguration& p, double v) { p.router_parameters.pack_decodes = v != 0; }},
      {"router.admit",
       [](PolicyConfiguration& p, double v) { p.router_parameters.admit_by_prediction = v != 0; }},
      {"router.window_ms",
       [](PolicyConfiguration& p, double v) {
         p.router_parameters.dispatch_window = from_seconds(v / 1000);
       }},
      {"router.first_token_margin",
       [](PolicyConfiguration& p, double v) { p.router_parameters.first_token_margin = v; }},
      {"router.between_token_margin",
       [](PolicyConfiguration& p, double v) { p.router_parameters.between_token_margin = v; }},
      {"router.decode_balance",
       [](PolicyConfiguration& p, double v) { p.router_parameters.decode_balance_seconds = v; }},
      {"router.zone_ms",
       [](PolicyConfiguration& p, double v) { p.router_parameters.zone_seconds = v / 1000; }},
      {"queue.kind",
       [](PolicyConfiguration& p, double v) {
         p.queue = static_cast<router::TenantQueueKind>(static_cast<int>(v) % 3);
       }},
      {"queue.drop_late", [](PolicyConfiguration& p, double v) { p.drop_late = v != 0; }},
      {"planner.kind",
       [](PolicyConfiguration& p, double v) {
         p.planner = static_cast<PlannerKind>(static_cast<int>(v) % 3);
       }},
      {"planner.size_chunks",
       [](PolicyConfiguration& p, double v) { p.goodput_planner.size_chunks = v != 0; }},
      {"planner.change_roles",
       [](PolicyConfiguration& p, double v) { p.goodput_planner.change_roles = v != 0; }},
      {"planner.persistence",
       [](PolicyConfiguration& p, double v) { p.goodput_planner.persistence = v; }},
      {"planner.usable_share",
       [](PolicyConfiguration& p, double v) { p.goodput_planner.usable_share = v; }},
      {"planner.smoothing_s",
       [](PolicyConfiguration& p, double v) { p.goodput_planner.smoothing = from_seconds(v); }},
      {"planner.most_chunk",
       [](PolicyConfiguration& p, double v) {
         p.goodput_planner.most_chunk_tokens = static_cast<std::uint32_t>(v);
       }},
      {"planner.chunk_share",
       [](PolicyConfiguration& p, double v) { p.goodput_planner.chunk_step_share = v; }},
      {"reactive.prefill_queue",
       [](PolicyConfiguration& p, double v) { p.reactive.prefill_queue_tokens = v; }},
      {"reactive.decode_running",
       [](PolicyConfiguration& p, double v) { p.reactive.decode_running = v; }},
      {"reactive.cooldown_s",
       [](PolicyConfiguration& p, double v) { p.reactive.cooldown = from_seconds(v); }},
      {"omniscient", [](PolicyConfiguration& p, double v) { p.omniscient = v != 0; }},
  };
  return table;
}

}  // namespace

std::string apply_setting(PolicyConfiguration& policy, const std::string& setting) {
  const std::size_t equals = setting.find('=');
  const std::string key = setting.substr(0, equals);
  const auto setter = setters().find(key);
  if (equals == std::string::npos || setter == setters().end()) {
    std::string message = "set: expected KEY=NUMBER with one of";
    for (const std::string& name : setting_names()) {
      message += " " + name;
    }
    return message;
  }
  const std::string text = setting.substr(equals + 1);
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || value < 0) {
    return "set: " + key + ": expected a number of at least 0";
  }
  setter->second(policy, value);
  return {};
}

std::vector<std::string> setting_names() {
  std::vector<std::string> names;
  for (const auto& [name, setter] : setters()) {
    names.push_back(name);
  }
  return names;
}

}  // namespace ochrespring::emulator
