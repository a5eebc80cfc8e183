#include "external/http/json.h"

#include <array>
#include <string>
#include <utility>

#include "external/http/encoding.h"

namespace ochrespring::external {

namespace {

template <class Enum, std::size_t N>
using NameTable = std::array<std::pair<Enum, std::string_view>, N>;

constexpr NameTable<fleet::EngineRole, 4> kRoleNames{{
    {fleet::EngineRole::kMixed, "mixed"},
    {fleet::EngineRole::kPrefill, "prefill"},
    {fleet::EngineRole::kDecode, "decode"},
    {fleet::EngineRole::kOrdinary, "ordinary"},
}};

constexpr NameTable<engine::OrderAction, 6> kActionNames{{
    {engine::OrderAction::kChangeRole, "change-role"},
    {engine::OrderAction::kLoadModel, "load-model"},
    {engine::OrderAction::kLoadAdapter, "load-adapter"},
    {engine::OrderAction::kUnloadAdapter, "unload-adapter"},
    {engine::OrderAction::kRaiseFence, "raise-fence"},
    {engine::OrderAction::kSetChunk, "set-chunk"},
}};

constexpr NameTable<engine::EnginePhase, 3> kPhaseNames{{
    {engine::EnginePhase::kServing, "serving"},
    {engine::EnginePhase::kChanging, "changing"},
    {engine::EnginePhase::kStarting, "starting"},
}};

constexpr NameTable<engine::CacheChange, 3> kChangeNames{{
    {engine::CacheChange::kStored, "stored"},
    {engine::CacheChange::kEvicted, "evicted"},
    {engine::CacheChange::kCleared, "cleared"},
}};

constexpr NameTable<MachineState, 2> kStateNames{{
    {MachineState::kLive, "live"},
    {MachineState::kLeaving, "leaving"},
}};

template <class Enum, std::size_t N>
std::string_view name_in(const NameTable<Enum, N>& table, Enum value) {
  for (const auto& [known, name] : table) {
    if (known == value) {
      return name;
    }
  }
  return "unknown";
}

[[noreturn]] void reject(const std::string& message) {
  constexpr int kInvalidValue = 501;
  throw Json::other_error::create(kInvalidValue, message, nullptr);
}

template <class Enum, std::size_t N>
Enum value_in(const NameTable<Enum, N>& table, std::string_view name) {
  for (const auto& [value, known] : table) {
    if (known == name) {
      return value;
    }
  }
  reject("unknown name: " + std::string(name));
}

std::string string_at(const Json& json, const char* field) {
  return json.at(field).get<std::string>();
}

template <class Name>
Name name_at(const Json& json, const char* field) {
  return Name(json.value(field, std::string()));
}

std::vector<std::string> strings_of(const std::vector<AdapterName>& names) {
  std::vector<std::string> strings;
  for (const AdapterName& name : names) {
    strings.push_back(name.value());
  }
  return strings;
}

std::vector<AdapterName> adapters_of(const Json& json) {
  std::vector<AdapterName> names;
  for (const Json& name : json) {
    names.emplace_back(name.get<std::string>());
  }
  return names;
}

double milliseconds_of(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

Duration span_of_milliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace

std::string_view name_of(fleet::EngineRole role) {
  return name_in(kRoleNames, role);
}

fleet::EngineRole role_of(std::string_view name) {
  return value_in(kRoleNames, name);
}

Json json_of(const KeyValueEntry& entry) {
  return {{"key", entry.key},
          {"value", base64_encode(entry.value)},
          {"version", entry.version.value()}};
}

KeyValueEntry key_value_entry_of(const Json& json) {
  std::optional<std::string> value = base64_decode(string_at(json, "value"));
  if (!value) {
    reject("value is not base64");
  }
  return {string_at(json, "key"), std::move(*value),
          KeyVersion(json.at("version").get<std::uint64_t>())};
}

Json json_of(const SwapOutcome& outcome) {
  Json json{{"swapped", outcome.swapped}, {"version", outcome.version.value()}};
  if (outcome.current) {
    json["current"] = json_of(*outcome.current);
  }
  return json;
}

SwapOutcome swap_outcome_of(const Json& json) {
  SwapOutcome outcome;
  outcome.swapped = json.at("swapped").get<bool>();
  outcome.version = KeyVersion(json.at("version").get<std::uint64_t>());
  if (json.contains("current")) {
    outcome.current = key_value_entry_of(json.at("current"));
  }
  return outcome;
}

Json json_of(const Machine& machine) {
  return {{"name", machine.name},
          {"state", name_in(kStateNames, machine.state)},
          {"zone", machine.zone.value()},
          {"region", machine.region.value()},
          {"peer_endpoint", machine.peer_endpoint.value()}};
}

Machine machine_of(const Json& json) {
  Machine machine;
  machine.name = string_at(json, "name");
  machine.state = value_in(kStateNames, json.value("state", std::string("live")));
  machine.zone = name_at<ZoneName>(json, "zone");
  machine.region = name_at<RegionName>(json, "region");
  machine.peer_endpoint = name_at<Endpoint>(json, "peer_endpoint");
  return machine;
}

Json json_of(const FetchGrant& grant) {
  return {{"token", grant.token}, {"transfer_ms", milliseconds_of(grant.transfer)}};
}

FetchGrant fetch_grant_of(const Json& json) {
  return {string_at(json, "token"), span_of_milliseconds(json.at("transfer_ms").get<double>())};
}

Json json_of(const engine::OrderFence& fence) {
  return {{"epoch", fence.epoch.value()}, {"sequence", fence.sequence}};
}

engine::OrderFence fence_of(const Json& json) {
  return {Epoch(json.at("epoch").get<std::uint64_t>()), json.at("sequence").get<std::uint64_t>()};
}

Json json_of(const engine::EngineOrder& order) {
  return {{"engine", order.engine.value()},
          {"fence", json_of(order.fence)},
          {"action", name_in(kActionNames, order.action)},
          {"role", name_of(order.role)},
          {"model", order.model.value()},
          {"version", order.version.value()},
          {"adapter", order.adapter.value()},
          {"prefill_chunk_tokens", order.prefill_chunk_tokens}};
}

engine::EngineOrder order_of(const Json& json) {
  engine::EngineOrder order;
  order.engine = EngineId(string_at(json, "engine"));
  order.fence = fence_of(json.at("fence"));
  order.action = value_in(kActionNames, string_at(json, "action"));
  order.role = role_of(json.value("role", std::string("mixed")));
  order.model = name_at<ModelName>(json, "model");
  order.version = name_at<VersionName>(json, "version");
  order.adapter = name_at<AdapterName>(json, "adapter");
  order.prefill_chunk_tokens = json.value("prefill_chunk_tokens", 0U);
  return order;
}

Json json_of(const engine::EngineStatus& status) {
  Json json{{"engine", status.engine.value()},
            {"incarnation", status.incarnation.value()},
            {"phase", name_in(kPhaseNames, status.phase)},
            {"role", name_of(status.role)},
            {"model", status.model.value()},
            {"version", status.version.value()},
            {"adapters", strings_of(status.adapters)},
            {"highest_fence", json_of(status.highest_fence)},
            {"in_flight", status.in_flight},
            {"prefill_chunk_tokens", status.prefill_chunk_tokens}};
  if (status.current_order) {
    json["current_order"] = json_of(*status.current_order);
  }
  if (status.last_completed) {
    json["last_completed"] = json_of(*status.last_completed);
  }
  return json;
}

engine::EngineStatus status_of(const Json& json) {
  engine::EngineStatus status;
  status.engine = EngineId(string_at(json, "engine"));
  status.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
  status.phase = value_in(kPhaseNames, string_at(json, "phase"));
  status.role = role_of(string_at(json, "role"));
  status.model = name_at<ModelName>(json, "model");
  status.version = name_at<VersionName>(json, "version");
  status.adapters = adapters_of(json.at("adapters"));
  status.highest_fence = fence_of(json.at("highest_fence"));
  status.in_flight = json.at("in_flight").get<std::uint32_t>();
  status.prefill_chunk_tokens = json.value("prefill_chunk_tokens", 0U);
  if (json.contains("current_order")) {
    status.current_order = order_of(json.at("current_order"));
  }
  if (json.contains("last_completed")) {
    status.last_completed = fence_of(json.at("last_completed"));
  }
  return status;
}

Json json_of(const engine::LoadReport& report) {
  return {{"engine", report.engine.value()},
          {"incarnation", report.incarnation.value()},
          {"sequence", report.sequence},
          {"age_ms", milliseconds_of(report.age)},
          {"queued_requests", report.queued_requests},
          {"queued_prefill_tokens", report.queued_prefill_tokens},
          {"running_sequences", report.running_sequences},
          {"context_tokens", report.context_tokens},
          {"kv_tokens_used", report.kv_tokens_used},
          {"kv_tokens_capacity", report.kv_tokens_capacity},
          {"prefill_tokens_per_second", report.prefill_tokens_per_second},
          {"decode_tokens_per_second", report.decode_tokens_per_second},
          {"prefill_chunk_tokens", report.prefill_chunk_tokens}};
}

engine::LoadReport load_report_of(const Json& json) {
  engine::LoadReport report;
  report.engine = EngineId(string_at(json, "engine"));
  report.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
  report.sequence = json.at("sequence").get<std::uint64_t>();
  report.age = span_of_milliseconds(json.at("age_ms").get<double>());
  report.queued_requests = json.at("queued_requests").get<std::uint32_t>();
  report.queued_prefill_tokens = json.at("queued_prefill_tokens").get<std::uint32_t>();
  report.running_sequences = json.at("running_sequences").get<std::uint32_t>();
  report.context_tokens = json.at("context_tokens").get<std::uint64_t>();
  report.kv_tokens_used = json.at("kv_tokens_used").get<std::uint64_t>();
  report.kv_tokens_capacity = json.at("kv_tokens_capacity").get<std::uint64_t>();
  report.prefill_tokens_per_second = json.at("prefill_tokens_per_second").get<float>();
  report.decode_tokens_per_second = json.at("decode_tokens_per_second").get<float>();
  report.prefill_chunk_tokens = json.value("prefill_chunk_tokens", 0U);
  return report;
}

Json json_of(const engine::CacheEvent& event) {
  return {{"sequence", event.sequence},
          {"change", name_in(kChangeNames, event.change)},
          {"blocks", event.blocks}};
}

engine::CacheEvent cache_event_of(const Json& json) {
  engine::CacheEvent event;
  event.sequence = json.at("sequence").get<std::uint64_t>();
  event.change = value_in(kChangeNames, string_at(json, "change"));
  event.blocks = json.at("blocks").get<std::vector<std::uint64_t>>();
  return event;
}

}  // namespace ochrespring::external
