// JSON forms of what the platform's HTTP services exchange; shared by the adapters and the
// stand-ins. Readers throw nlohmann::json::exception on anything they do not understand; the caller
// catches it at its boundary.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "engine/types.h"
#include "external/key_value_store.h"
#include "external/machine_list.h"
#include "external/weight_store.h"

namespace ochrespring::external {

using Json = nlohmann::json;

Json json_of(const KeyValueEntry& entry);
KeyValueEntry key_value_entry_of(const Json& json);
Json json_of(const SwapOutcome& outcome);
SwapOutcome swap_outcome_of(const Json& json);

Json json_of(const Machine& machine);
Machine machine_of(const Json& json);

Json json_of(const FetchGrant& grant);
FetchGrant fetch_grant_of(const Json& json);

Json json_of(const engine::OrderFence& fence);
engine::OrderFence fence_of(const Json& json);
Json json_of(const engine::EngineOrder& order);
engine::EngineOrder order_of(const Json& json);
Json json_of(const engine::EngineStatus& status);
engine::EngineStatus status_of(const Json& json);
Json json_of(const engine::LoadReport& report);
engine::LoadReport load_report_of(const Json& json);
Json json_of(const engine::CacheEvent& event);
engine::CacheEvent cache_event_of(const Json& json);

std::string_view name_of(fleet::EngineRole role);
fleet::EngineRole role_of(std::string_view name);

}  // namespace ochrespring::external
