#include "simulation/node_slot.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "fleet/storage_codec.h"

namespace ochrespring::simulation {
namespace {

/// Clocks differ in rate by less than this from true time, either way.
constexpr double kLargestClockError = 0.002;
constexpr double kLargestClockOffsetSeconds = 1e6;
/// Ended callers are forgotten beyond this many.
constexpr std::size_t kCallersKept = 64;

/// Rate of clocks that a planted bug slows down.
constexpr double kPlantedSlowRate = 0.2;

ClockDrift draw_drift(RandomSource& random, Plant plant) {
  if (plant == Plant::kClockOutsideBound && random.chance(0.5)) {
    return {kPlantedSlowRate, Duration::zero()};
  }
  const double rate = 1.0 + (2 * random.unit() - 1) * kLargestClockError;
  return {rate, from_seconds(kLargestClockOffsetSeconds * random.unit())};
}

}  // namespace

NodeSlot::NodeSlot(NodeSite site, NodeWorld world)
    : site_(std::move(site)),
      world_(std::move(world)),
      restart_timer_(world_.surroundings.time),
      wake_timer_(world_.surroundings.time) {}

void NodeSlot::start() {
  if (running()) {
    return;
  }
  restart_timer_.disarm();
  const auto now = world_.surroundings.time.now().time_since_epoch();
  const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  incarnation_ =
      Incarnation(std::max(incarnation_.value() + 1, static_cast<std::uint64_t>(microseconds) + 1));
  runtime_ = std::make_shared<ProcessRuntime>(world_.surroundings.time,
                                              draw_drift(world_.surroundings.random, world_.plant));
  program_ =
      make_node_program(site_, incarnation_, runtime_, world_.surroundings.random.next(), world_);
  world_.surroundings.observe(oracle::NodeStarted{site_.node, incarnation_});
  program_->start();
}

void NodeSlot::kill(Duration down) {
  if (!running()) {
    return;
  }
  world_.surroundings.faults.count(FaultKind::kNodeKilled);
  end_process(false);
  restart_timer_.arm(down, [this] {
    world_.surroundings.faults.count(FaultKind::kNodeRestarted);
    start();
  });
}

void NodeSlot::stop(Duration down) {
  if (!running() || stopping_) {
    return;
  }
  stopping_ = true;
  // The signal reaches the process when it runs.
  runtime_->post([this, down] {
    program_->stop([this, down] {
      // Not inside the program's own call.
      world_.surroundings.time.schedule_after(Duration::zero(), [this, down, ended = incarnation_] {
        if (running() && incarnation_ == ended) {
          end_process(true);
          restart_timer_.arm(down, [this] { start(); });
        }
      });
    });
  });
}

void NodeSlot::pause(Duration span) {
  if (!running()) {
    return;
  }
  world_.surroundings.faults.count(FaultKind::kNodePaused);
  runtime_->pause();
  wake_timer_.arm(span, [this] { wake(); });
}

void NodeSlot::wake() {
  wake_timer_.disarm();
  if (paused()) {
    runtime_->wake();
  }
}

void NodeSlot::submit(const std::shared_ptr<CallerRecord>& caller) {
  if (callers_.size() >= kCallersKept) {
    std::erase_if(callers_, [](const auto& record) { return record->ended(); });
  }
  callers_.push_back(caller);
  runtime_->post([this, caller] {
    if (!caller->ended()) {
      program_->submit(caller);
    }
  });
}

void NodeSlot::on_caller_gone(const CallerRecord& caller) {
  if (running()) {
    runtime_->post([this, request = caller.request().id] { program_->on_caller_gone(request); });
  }
}

void NodeSlot::report_revision() {
  if (!running() || paused()) {
    return;
  }
  const auto document = program_->document();
  if (!document || document->revision == Revision{}) {
    return;
  }
  if (document != reported_document_) {
    reported_document_ = document;
    report_ = {site_.node,
               incarnation_,
               document->revision,
               stable_hash(fleet::encode_document(*document)),
               {}};
    for (const fleet::Tenant& tenant : document->tenants) {
      // Operators in the simulation record each change of theirs as a tenant of that name.
      report_.mutations.emplace_back(tenant.name.value());
    }
  }
  world_.surroundings.observe(report_);
}

void NodeSlot::end_process(bool planned) {
  if (!running()) {
    return;
  }
  wake_timer_.disarm();
  const std::vector<RequestId> open = forget_callers();
  runtime_->kill();
  world_.peers.detach(site_.peer);
  reported_document_.reset();
  program_.reset();
  runtime_.reset();
  stopping_ = false;
  world_.surroundings.observe(oracle::NodeStopped{site_.node, planned, open});
}

std::vector<RequestId> NodeSlot::forget_callers() {
  std::vector<RequestId> open;
  for (const auto& caller : std::exchange(callers_, {})) {
    if (!caller->ended()) {
      open.push_back(caller->request().id);
      caller->on_gone();
    }
  }
  return open;
}

}  // namespace ochrespring::simulation
