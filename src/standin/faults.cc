#include "standin/faults.h"

#include <array>
#include <utility>

namespace ochrespring::standin {

namespace {

using Json = nlohmann::json;

struct ProbabilityField {
  const char* name;
  double FaultSettings::*member;
};
struct FlagField {
  const char* name;
  bool FaultSettings::*member;
};
struct SpanField {
  const char* name;
  Duration FaultSettings::*member;
};

constexpr std::array kProbabilities{
    ProbabilityField{"slow_probability", &FaultSettings::slow_probability},
    ProbabilityField{"lost_answer", &FaultSettings::lost_answer},
    ProbabilityField{"crossed_answer", &FaultSettings::crossed_answer},
    ProbabilityField{"truncated_answer", &FaultSettings::truncated_answer},
    ProbabilityField{"cut_answer", &FaultSettings::cut_answer},
    ProbabilityField{"doubled_chunk", &FaultSettings::doubled_chunk},
    ProbabilityField{"lost_watch_event", &FaultSettings::lost_watch_event},
    ProbabilityField{"crash_in_order", &FaultSettings::crash_in_order},
};
constexpr std::array kFlags{
    FlagField{"down", &FaultSettings::down},
    FlagField{"crash_exits", &FaultSettings::crash_exits},
    FlagField{"forget_fence", &FaultSettings::forget_fence},
};
constexpr std::array kSpans{
    SpanField{"slow_ms", &FaultSettings::slow},
    SpanField{"lag_ms", &FaultSettings::lag},
};
constexpr const char* kPathPrefix = "path_prefix";
constexpr double kLongestSpanMilliseconds = 600'000;

template <class Fields>
const typename Fields::value_type* find_field(const Fields& fields, const std::string& name) {
  for (const auto& field : fields) {
    if (name == field.name) {
      return &field;
    }
  }
  return nullptr;
}

Result<double, FaultError> number_between(const std::string& name, const Json& value,
                                          double largest) {
  if (!value.is_number()) {
    return fail(FaultErrc::kWrongType, name + ": must be a number");
  }
  const double number = value.get<double>();
  if (!(number >= 0 && number <= largest)) {
    return fail(FaultErrc::kOutOfRange,
                name + ": must be between 0 and " + std::to_string(largest));
  }
  return number;
}

Result<void, FaultError> set_flag(FaultSettings& settings, const FlagField& field,
                                  const Json& value) {
  if (!value.is_boolean()) {
    return fail(FaultErrc::kWrongType, std::string(field.name) + ": must be true or false");
  }
  settings.*field.member = value.get<bool>();
  return outcome::success();
}

Result<void, FaultError> set_field(FaultSettings& settings, const std::string& name,
                                   const Json& value) {
  if (const auto* flag = find_field(kFlags, name)) {
    return set_flag(settings, *flag, value);
  }
  if (const auto* probability = find_field(kProbabilities, name)) {
    BOOST_OUTCOME_TRY(drawn, number_between(name, value, 1));
    settings.*probability->member = drawn;
    return outcome::success();
  }
  if (const auto* span = find_field(kSpans, name)) {
    BOOST_OUTCOME_TRY(milliseconds, number_between(name, value, kLongestSpanMilliseconds));
    settings.*span->member = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
    return outcome::success();
  }
  if (name == kPathPrefix && value.is_string()) {
    settings.path_prefix = value.get<std::string>();
    return outcome::success();
  }
  return fail(FaultErrc::kUnknownField, name + ": no such fault");
}

}  // namespace

Json json_of(const FaultSettings& settings) {
  Json json{{kPathPrefix, settings.path_prefix}};
  for (const FlagField& field : kFlags) {
    json[field.name] = settings.*field.member;
  }
  for (const ProbabilityField& field : kProbabilities) {
    json[field.name] = settings.*field.member;
  }
  for (const SpanField& field : kSpans) {
    json[field.name] = std::chrono::duration<double, std::milli>(settings.*field.member).count();
  }
  return json;
}

Result<FaultSettings, FaultError> merge_faults(const FaultSettings& current, const Json& change) {
  if (!change.is_object()) {
    return fail(FaultErrc::kWrongType, "faults must be a JSON object");
  }
  FaultSettings merged = current;
  for (const auto& [name, value] : change.items()) {
    BOOST_OUTCOME_TRY(set_field(merged, name, value));
  }
  return merged;
}

CallFaults FaultInjector::draw(std::string_view path) {
  CallFaults faults;
  if (!path.starts_with(settings_.path_prefix)) {
    return faults;
  }
  faults.cut_before_effect = chance(settings_.down ? 1 : 0, "down");
  if (settings_.slow > Duration::zero() && chance(settings_.slow_probability, "slow_ms")) {
    faults.delay = settings_.slow;
  }
  faults.lose_answer = chance(settings_.lost_answer, "lost_answer");
  faults.cross_answer = chance(settings_.crossed_answer, "crossed_answer");
  faults.truncate_answer = chance(settings_.truncated_answer, "truncated_answer");
  faults.cut_answer = chance(settings_.cut_answer, "cut_answer");
  faults.double_chunk = chance(settings_.doubled_chunk, "doubled_chunk");
  return faults;
}

bool FaultInjector::draw_lost_watch_event() {
  return chance(settings_.lost_watch_event, "lost_watch_event");
}

bool FaultInjector::draw_crash_in_order() {
  return chance(settings_.crash_in_order, "crash_in_order");
}

bool FaultInjector::chance(double probability, const char* name) {
  if (probability <= 0 || !random_.chance(probability)) {
    return false;
  }
  ++injected_[name];
  return true;
}

}  // namespace ochrespring::standin
