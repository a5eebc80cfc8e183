#include "fuzz/history.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace ochrespring::fuzz {
namespace {

constexpr std::array<std::string_view, kStepKinds> kNames = {
    "submit-stream",
    "send-once",
    "repeat-key",
    "caller-leaves",
    "mutate-tenant",
    "drain-engine",
    "change-role",
    "change-version",
    "stop-node",
    "machine-leaves",
    "kill-node",
    "pause-node",
    "crash-engine",
    "crash-engine-forgetful",
    "crash-engine-in-order",
    "partition",
    "cut-one-way",
    "cut-from-engines",
    "cut-from-key-value",
    "lossy-network",
    "slow-network",
    "lose-zone",
    "kill-all-nodes",
    "key-value-down",
    "key-value-slow",
    "key-value-loses-answers",
    "key-value-loses-watch-events",
    "key-value-backup",
    "key-value-restore",
    "machine-list-lag",
    "engine-loses-answers",
    "truncate-answer",
    "cross-answer",
    "delay-answer",
    "reset-answer",
};

nlohmann::json step_to_json(const Step& step) {
  return {
      {"at_us", std::chrono::duration_cast<std::chrono::microseconds>(step.at).count()},
      {"step", step_name(step.kind)},
      {"target", step.target},
      {"other", step.other},
      {"duration_us", std::chrono::duration_cast<std::chrono::microseconds>(step.duration).count()},
      {"argument", step.argument}};
}

Result<Step, HistoryError> step_from_json(const nlohmann::json& json) {
  const auto name = json.at("step").get<std::string>();
  const auto kind = step_kind(name);
  if (!kind) {
    return fail(HistoryErrc::kUnknownStep, "unknown step " + name);
  }
  Step step;
  step.at = std::chrono::microseconds(json.at("at_us").get<std::int64_t>());
  step.kind = *kind;
  step.target = json.at("target").get<std::uint32_t>();
  step.other = json.at("other").get<std::uint32_t>();
  step.duration = std::chrono::microseconds(json.at("duration_us").get<std::int64_t>());
  step.argument = json.at("argument").get<std::uint64_t>();
  return step;
}

}  // namespace

std::string_view step_name(StepKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

std::optional<StepKind> step_kind(std::string_view name) {
  const auto found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<StepKind>(found - kNames.begin());
}

std::string to_json(const History& history) {
  const nlohmann::json header = {
      {"seed", history.seed}, {"scenario", history.scenario}, {"plant", history.plant}};
  std::string text = header.dump();
  text.back() = ',';
  text += "\"steps\":[";
  for (const Step& step : history.steps) {
    text += (&step == &history.steps.front()) ? "\n" : ",\n";
    text += step_to_json(step).dump();
  }
  return text + "\n]}\n";
}

Result<History, HistoryError> history_from_json(std::string_view text) {
  try {
    const auto json = nlohmann::json::parse(text);
    History history;
    history.seed = json.at("seed").get<std::uint64_t>();
    history.scenario = json.at("scenario").get<std::string>();
    history.plant = json.at("plant").get<std::string>();
    for (const auto& entry : json.at("steps")) {
      BOOST_OUTCOME_TRY(step, step_from_json(entry));
      history.steps.push_back(step);
    }
    return history;
  } catch (const nlohmann::json::exception& error) {
    return fail(HistoryErrc::kMalformed, error.what());
  }
}

}  // namespace ochrespring::fuzz
