#include "fuzz/runner.h"

#include <variant>

#include "fuzz/plants.h"
#include "fuzz/scenario.h"
#include "fuzz/step_player.h"
#include "oracle/oracle.h"
#include "simulation/world.h"

namespace ochrespring::fuzz {
namespace {

/// Time for the nodes to join and the first configuration to come into force, before the steps.
constexpr Duration kWarmUp = std::chrono::seconds(15);
/// After the last step and the healing of all faults: longer than every deadline and bound.
constexpr Duration kSettling = std::chrono::seconds(75);
/// How often a run looks for violations.
constexpr Duration kSlice = std::chrono::seconds(1);

/// Counts observations on their way to the oracle.
class CountingSink final : public oracle::ObservationSink {
 public:
  CountingSink(oracle::Oracle& oracle, Activity& activity, const ObservationTrace& trace)
      : oracle_(oracle), activity_(activity), trace_(trace) {}

  void observe(MonotonicTime at, const oracle::Observation& observation) override {
    ++activity_.observations;
    std::visit([this](const auto& event) { count(event); }, observation);
    if (trace_) {
      trace_(at, observation);
    }
    oracle_.observe(at, observation);
  }

 private:
  template <class T>
  void count(const T& /*event*/) {}
  void count(const oracle::RequestSubmitted& /*event*/) { ++activity_.requests; }
  void count(const oracle::RunStarted& /*event*/) { ++activity_.runs; }
  void count(const oracle::OrderTaken& /*event*/) { ++activity_.orders; }
  void count(const oracle::MutationAccepted& /*event*/) { ++activity_.mutations; }
  void count(const oracle::RequestEnded& event) {
    switch (event.verdict) {
      case oracle::AnswerVerdict::kWhole:
        ++activity_.answered;
        return;
      case oracle::AnswerVerdict::kNotRun:
        ++activity_.not_run;
        return;
      case oracle::AnswerVerdict::kUnknown:
        ++activity_.unknown;
        return;
      case oracle::AnswerVerdict::kGone:
        ++activity_.gone;
        return;
    }
  }

  oracle::Oracle& oracle_;
  Activity& activity_;
  const ObservationTrace& trace_;
};

oracle::OracleSettings oracle_settings(const History& history) {
  oracle::OracleSettings settings;
  const Scenario* scenario = find_scenario(history.scenario);
  settings.expect_every_answer = scenario != nullptr && scenario->calm;
  return settings;
}

/// Runs until `end` or the first violation; false at a violation.
bool run_until(simulation::World& world, const oracle::Oracle& oracle, MonotonicTime end) {
  while (world.time().now() < end && oracle.violations().empty()) {
    world.run_until(std::min(world.time().now() + kSlice, end));
  }
  return oracle.violations().empty();
}

}  // namespace

void Activity::add(const Activity& other) {
  steps += other.steps;
  requests += other.requests;
  answered += other.answered;
  not_run += other.not_run;
  unknown += other.unknown;
  gone += other.gone;
  runs += other.runs;
  orders += other.orders;
  mutations += other.mutations;
  messages += other.messages;
  observations += other.observations;
  for (std::size_t i = 0; i < checks.size(); ++i) {
    checks[i] += other.checks[i];
  }
}

RunReport run_history(const History& history, const ObservationTrace& trace) {
  RunReport report;
  oracle::Oracle oracle(oracle_settings(history));
  CountingSink sink(oracle, report.activity, trace);
  {
    simulation::WorldSettings settings;
    settings.seed = history.seed;
    settings.plant = plant_named(history.plant);
    simulation::World world(settings, sink);
    world.start();
    const MonotonicTime begin = world.time().now() + kWarmUp;
    Duration last{};
    for (const Step& step : history.steps) {
      world.time().schedule_after(kWarmUp + step.at, [&world, &report, &step] {
        ++report.activity.steps;
        play(step, world);
      });
      last = step.at;
    }
    if (run_until(world, oracle, begin + last + kSlice)) {
      world.heal();
      if (run_until(world, oracle, world.time().now() + kSettling)) {
        sink.observe(world.time().now(), oracle::Quiescent{});
      }
    }
    report.faults = world.faults();
    report.activity.messages = world.messages_delivered();
    report.violations = oracle.violations();
  }
  for (const oracle::Promise promise : oracle::kAllPromises) {
    report.activity.checks[static_cast<std::size_t>(promise)] = oracle.checks(promise);
  }
  return report;
}

}  // namespace ochrespring::fuzz
