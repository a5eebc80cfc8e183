#include "gateway/stream_backup.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "gateway/backend_index.h"
#include "gateway/software_id.h"

namespace ochrespring::gateway {

namespace {

/// Larger groups of engines are sampled instead of compared one by one, since a node may have as
/// little as a tenth of a core.
constexpr std::size_t kMaxFullScan = 128;
/// Engines sampled from a larger group; the less loaded half of them are candidates.
constexpr std::size_t kSampleSize = 16;

constexpr std::array<std::string_view, 11> kObstacleNames{"",
                                                          "no backup engine",
                                                          "already resumed once",
                                                          "engine may still be running it",
                                                          "retried instead",
                                                          "no event received",
                                                          "event without id",
                                                          "backup engine not registered",
                                                          "backup engine is leaving",
                                                          "backup engine accepts no requests now",
                                                          "no time left"};

}  // namespace

bool wants_backup(const Route& route, const EngineShape* shape, const Prompt* prompt,
                  std::string_view request_id, bool replicate_retryable_streams) {
  const bool may_be_retried = route.repeatable() && route.max_attempts > 1;
  if (may_be_retried && !replicate_retryable_streams) {
    return false;
  }
  if (route.kind != RequestKind::kStreaming || shape == nullptr || !shape->backs_up_streams ||
      shape->tokens_per_event == 0 || prompt == nullptr || request_id.empty()) {
    return false;
  }
  return prompt->expected_output_tokens / shape->tokens_per_event >= kMinReplicatedEvents;
}

const Backend* BackupChooser::choose(const Query& query, MonotonicTime now) const {
  const BackendGroup* group = fleet_.index().find(query.runner->service, /*prefill=*/false);
  if (group == nullptr) {
    return nullptr;
  }
  SeededRandom random(stable_hash(query.request_id));
  const auto gather = [&](const BackendGroup::Accept& accept) {
    return group->size() <= kMaxFullScan ? group->all(accept)
                                         : group->sample(kSampleSize, random, accept);
  };
  const auto can_hold_copy = [&](const Backend& engine) {
    return this->can_hold_copy(engine, query, now);
  };
  std::vector<const Backend*> engines = gather([&](const Backend& engine) {
    return engine.zone == query.runner->zone && can_hold_copy(engine);
  });
  if (engines.empty()) {
    engines = gather(can_hold_copy);
  }
  if (engines.empty()) {
    return nullptr;
  }
  std::vector<double> loads;
  loads.reserve(engines.size());
  for (const Backend* engine : engines) {
    loads.push_back(load_of(*engine, now));
  }
  // Equally loaded engines are either all included or all excluded, so that idle engines share the
  // copies.
  const auto middle = loads.begin() + static_cast<std::ptrdiff_t>((loads.size() - 1) / 2);
  std::nth_element(loads.begin(), middle, loads.end());
  const double median_load = *middle;
  return rendezvous_choice(engines, query.request_id, [&](const Backend& engine) {
    return load_of(engine, now) <= median_load;
  });
}

bool BackupChooser::can_hold_copy(const Backend& engine, const Query& query,
                                  MonotonicTime now) const {
  if (engine.id == query.runner->id || !run_same_software(engine, *query.runner) ||
      query.avoid->contains(engine.id) || fleet_.is_leaving(engine) ||
      fleet_.is_distrusted(engine.id, now)) {
    return false;
  }
  const BackendLoad* load = loads_.find(engine.id);
  const bool avoided =
      load != nullptr && (load->ejected(now) || load->replaced(now) || load->mostly_refuses(now));
  return !avoided && (gate_ == nullptr || gate_->has_room(engine.id, now));
}

double BackupChooser::load_of(const Backend& engine, MonotonicTime now) const {
  const BackendLoad* load = loads_.find(engine.id);
  // The counts that other nodes report are exact, but may miss requests of some nodes. The engine's
  // own report includes those, so it is used if it is higher.
  double requests = loads_.others(engine.id, now).requests;
  if (load != nullptr) {
    requests = std::max(requests, load->reported_others(now)) + load->in_flight();
  }
  return requests / std::max<double>(engine.slots, 1);
}

std::string_view describe(BackupObstacle obstacle) {
  return kObstacleNames.at(static_cast<std::size_t>(obstacle));
}

bool is_connection_break(http::HttpErrc error) {
  return error == http::HttpErrc::kReset || error == http::HttpErrc::kTruncated ||
         error == http::HttpErrc::kStaleConnection;
}

void StreamBackup::enable(std::string request_id, const SendGate* gate) {
  request_id_ = std::move(request_id);
  gate_ = gate;
}

std::optional<Endpoint> StreamBackup::begin_run(const Backend& runner,
                                                const std::set<BackendId>& tried,
                                                MonotonicTime now) {
  run_ = {};
  if (request_id_.empty() || used_) {
    return std::nullopt;
  }
  const Backend* chosen =
      BackupChooser(fleet_, loads_, gate_)
          .choose({.runner = &runner, .request_id = request_id_, .avoid = &tried}, now);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  run_.runner = runner.id;
  run_.runner_address = runner.address;
  run_.engine = chosen->id;
  run_.software = software_of(runner);
  return chosen->address;
}

void StreamBackup::note_event(const StreamEvent& event, MonotonicTime now) {
  if (event.id && !run_.first_event_with_id) {
    run_.first_event_with_id = now;
  }
  saw_event_without_id_ = saw_event_without_id_ || (!event.id && event.has_data());
}

bool StreamBackup::is_replaced(const BackendId& id, MonotonicTime now) const {
  const BackendLoad* load = loads_.find(id);
  return load != nullptr && load->replaced(now);
}

bool StreamBackup::is_runner_missing(const BackendId& runner, MonotonicTime now) const {
  return is_replicated() && !used_ && runner == run_.runner &&
         (fleet_.find(runner) == nullptr || is_replaced(runner, now));
}

BackupObstacle StreamBackup::obstacle(const FailedRun& run, MonotonicTime now) const {
  if (!is_replicated()) {
    return BackupObstacle::kNoBackup;
  }
  if (used_) {
    return BackupObstacle::kAlreadyUsed;
  }
  if (!is_connection_break(run.error) && !run.runner_missing) {
    return BackupObstacle::kRunnerMayBeRunning;
  }
  // A kept-alive connection that was already closed says nothing about its engine, which usually
  // never received the request. There is no copy then, and asking for it would cost one unit of the
  // retry budget.
  if (run.error == http::HttpErrc::kStaleConnection && run.retry_allowed && !run.runner_missing) {
    return BackupObstacle::kRetryPreferred;
  }
  // An engine that accepts the request without having a copy would run it a second time. An engine
  // that crashed during prefill was observed to have made no copy.
  if (!run_.first_event_with_id) {
    return BackupObstacle::kNoEventReceived;
  }
  if (saw_event_without_id_) {
    return BackupObstacle::kUnknownPosition;
  }
  return run.has_time ? engine_obstacle(now) : BackupObstacle::kNoTime;
}

RunQuery StreamBackup::run_query(Duration patience) const {
  return {.engine = run_.runner,
          .address = run_.runner_address,
          .id = request_id_,
          .first_event = *run_.first_event_with_id,
          .engine_registered = fleet_.find(run_.runner) != nullptr,
          .patience = patience,
          .asker = {}};
}

BackupObstacle StreamBackup::engine_obstacle(MonotonicTime now) const {
  const Backend* backup = engine();
  if (backup == nullptr || is_replaced(run_.engine, now) || software_of(*backup) != run_.software) {
    return BackupObstacle::kNotRegistered;
  }
  if (fleet_.is_leaving(*backup)) {
    return BackupObstacle::kLeaving;
  }
  const bool open =
      gate_ == nullptr || (gate_->has_room(run_.engine, now) && gate_->may_send(run_.engine, now));
  return open ? BackupObstacle::kNone : BackupObstacle::kNotAccepting;
}

const Backend* StreamBackup::engine() const {
  return is_replicated() ? fleet_.find(run_.engine) : nullptr;
}

}  // namespace ochrespring::gateway
