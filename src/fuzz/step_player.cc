#include "fuzz/step_player.h"

namespace ochrespring::fuzz {
namespace {

using simulation::AnswerFault;
using simulation::AnswerFaultKind;
using simulation::FaultKind;
using simulation::World;

/// One in this many streams is long enough to outlast a drain.
constexpr std::uint64_t kLongStreams = 12;
constexpr std::uint32_t kShortTokens = 60;
constexpr std::uint32_t kLongTokens = 500;
/// One in this many completions is not streamed.
constexpr std::uint64_t kWholeCompletions = 4;

void submit_stream(const Step& step, World& world) {
  const bool is_long = step.argument % kLongStreams == 0;
  const std::uint32_t tokens =
      1 + static_cast<std::uint32_t>(step.argument % (is_long ? kLongTokens : kShortTokens));
  const bool streaming = step.other % kWholeCompletions != 0;
  world.callers().submit_completion(step.target, tokens, streaming);
}

EngineId backend_id(const Step& step, World& world) {
  const std::size_t index = step.other % (world.engine_count() + world.relay_count());
  if (index < world.engine_count()) {
    return world.engine(static_cast<std::uint32_t>(index)).site().id;
  }
  return world.relay(static_cast<std::uint32_t>(index - world.engine_count())).site().id;
}

void arm_answer_fault(const Step& step, World& world, AnswerFaultKind kind) {
  const AnswerFault fault{kind, step.duration};
  const std::size_t index = step.target % (world.engine_count() + world.relay_count());
  if (index < world.engine_count()) {
    world.engine(static_cast<std::uint32_t>(index)).answer_faults().arm(fault);
  } else {
    world.relay(static_cast<std::uint32_t>(index - world.engine_count()))
        .answer_faults()
        .arm(fault);
  }
}

void crash_backend(const Step& step, World& world, bool forgets_fence) {
  const std::size_t index = step.target % (world.engine_count() + world.relay_count());
  if (index < world.engine_count()) {
    world.engine(static_cast<std::uint32_t>(index)).crash({step.duration, forgets_fence});
  } else {
    world.relay(static_cast<std::uint32_t>(index - world.engine_count())).crash(step.duration);
  }
}

void kill_all(const Step& step, World& world) {
  for (std::uint32_t i = 0; i < world.nodes().size(); ++i) {
    world.kill_node(i, step.duration);
  }
}

void play_callers(const Step& step, World& world) {
  switch (step.kind) {
    case StepKind::kSubmitStream:
      return submit_stream(step, world);
    case StepKind::kSendOnce:
      return world.callers().send_once(step.target);
    case StepKind::kRepeatKey:
      return world.callers().repeat_key(step.target, step.argument);
    case StepKind::kCallerLeaves:
      return world.callers().leave(step.argument);
    default:
      return;
  }
}

void play_operators(const Step& step, World& world) {
  const auto engine = world.engine(step.other).site().id;
  switch (step.kind) {
    case StepKind::kMutateTenant:
      return world.operators().create_tenant(step.target);
    case StepKind::kDrainEngine:
      return world.operators().drain(step.target, backend_id(step, world), step.duration);
    case StepKind::kChangeRole:
      return world.operators().change_role(step.target, engine, step.argument);
    case StepKind::kChangeVersion:
      return world.operators().change_version(step.target);
    case StepKind::kStopNode:
      return world.node(step.target).stop(step.duration);
    case StepKind::kMachineLeaves:
      return world.announce_server_leaving(step.target, step.duration);
    default:
      return;
  }
}

void play_processes(const Step& step, World& world) {
  switch (step.kind) {
    case StepKind::kKillNode:
      return world.kill_node(step.target, step.duration);
    case StepKind::kPauseNode:
      return world.pause_node(step.target, step.duration);
    case StepKind::kLoseZone:
      return world.lose_zone(step.target, step.duration);
    case StepKind::kKillAllNodes:
      return kill_all(step, world);
    case StepKind::kCrashEngine:
      return crash_backend(step, world, false);
    case StepKind::kCrashEngineForgetful:
      return crash_backend(step, world, true);
    case StepKind::kCrashEngineInOrder:
      return world.engine(step.target).crash_in_next_order({step.duration, step.argument % 2 == 1});
    default:
      return;
  }
}

void play_network(const Step& step, World& world) {
  auto& faults = world.network_faults();
  switch (step.kind) {
    case StepKind::kPartition:
      return faults.partition(step.argument, step.duration);
    case StepKind::kCutOneWay:
      return faults.cut_one_way(step.target, step.other, step.duration);
    case StepKind::kCutFromEngines:
      return faults.cut_from_backends(step.target, step.duration);
    case StepKind::kCutFromKeyValue:
      return faults.cut_from_key_value(step.target, step.duration);
    case StepKind::kLossyNetwork:
      return faults.lose_messages(step.duration);
    case StepKind::kSlowNetwork:
      return faults.delay_messages(step.duration);
    default:
      return;
  }
}

void play_platform(const Step& step, World& world) {
  auto& service = world.key_value();
  const MonotonicTime until = world.time().now() + step.duration;
  switch (step.kind) {
    case StepKind::kKeyValueDown:
      return world.take_key_value_down(step.duration);
    case StepKind::kKeyValueSlow:
      world.faults().count(FaultKind::kKeyValueSlow);
      return service.health.slow.extend(until);
    case StepKind::kKeyValueLosesAnswers:
      return service.health.loses_answers.extend(until);
    case StepKind::kKeyValueLosesWatchEvents:
      return service.health.loses_watches.extend(until);
    case StepKind::kKeyValueBackup:
      return service.take_backup();
    case StepKind::kKeyValueRestore:
      world.faults().count(FaultKind::kKeyValueRestored);
      return service.restore_backup();
    case StepKind::kMachineListLag:
      return world.lag_machine_list(step.duration);
    case StepKind::kEngineLosesAnswers:
      return world.lose_engine_answers(step.duration);
    default:
      return;
  }
}

void play_answers(const Step& step, World& world) {
  switch (step.kind) {
    case StepKind::kTruncateAnswer:
      return arm_answer_fault(step, world, AnswerFaultKind::kTruncate);
    case StepKind::kCrossAnswer:
      return arm_answer_fault(step, world, AnswerFaultKind::kCross);
    case StepKind::kDelayAnswer:
      return arm_answer_fault(step, world, AnswerFaultKind::kDelay);
    case StepKind::kResetAnswer:
      return arm_answer_fault(step, world, AnswerFaultKind::kReset);
    default:
      return;
  }
}

}  // namespace

void play(const Step& step, World& world) {
  // Each group does its own kinds and leaves the others alone.
  play_callers(step, world);
  play_operators(step, world);
  play_processes(step, world);
  play_network(step, world);
  play_platform(step, world);
  play_answers(step, world);
}

}  // namespace ochrespring::fuzz
