#include "gateway/stream_backup.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "gateway/backend_index.h"

namespace ochrespring::gateway {

namespace {

/// Up to so many engines are compared one by one. Larger groups are sampled: a node may have as
/// little as a tenth of a core.
constexpr std::size_t kWalkAll = 128;
/// Engines drawn from a larger group; half of them remain to choose from.
constexpr std::size_t kSample = 16;

constexpr std::array<std::string_view, 11> kObstacleNames{"",
                                                          "no backup engine",
                                                          "has continued before",
                                                          "server may still work on it",
                                                          "sent anew instead",
                                                          "no event has come",
                                                          "event without id",
                                                          "backup engine gone",
                                                          "backup engine leaves",
                                                          "backup engine takes nothing now",
                                                          "no time left"};

/// Comments carry nothing of the answer.
bool has_data(const std::string& event) {
  return event.starts_with("data") || event.find("\ndata") != std::string::npos;
}

}  // namespace

bool wants_backup(const Route& route, const EngineShape* shape, const Prompt* prompt,
                  std::string_view request_id, bool replicates_resumable) {
  const bool may_be_sent_anew = route.repeatable() && route.max_attempts > 1;
  if (may_be_sent_anew && !replicates_resumable) {
    return false;
  }
  if (route.kind != RequestKind::kStreaming || shape == nullptr || !shape->backs_up_streams ||
      shape->tokens_per_event == 0 || prompt == nullptr || request_id.empty()) {
    return false;
  }
  return prompt->expected_output_tokens / shape->tokens_per_event >= kLeastBackedUpEvents;
}

const Backend* BackupChooser::choose(const Query& query, MonotonicTime now) const {
  const BackendGroup* group = fleet_.index().find(query.runner->service, false);
  if (group == nullptr) {
    return nullptr;
  }
  SeededRandom random(stable_hash(query.request_id));
  const auto gather = [&](const BackendGroup::Accept& accept) {
    return group->size() <= kWalkAll ? group->all(accept) : group->sample(kSample, random, accept);
  };
  const auto may_hold = [&](const Backend& engine) { return this->may_hold(engine, query, now); };
  std::vector<const Backend*> engines = gather(
      [&](const Backend& engine) { return engine.zone == query.runner->zone && may_hold(engine); });
  if (engines.empty()) {
    engines = gather(may_hold);
  }
  if (engines.empty()) {
    return nullptr;
  }
  std::vector<double> loads;
  loads.reserve(engines.size());
  for (const Backend* engine : engines) {
    loads.push_back(load_of(*engine, now));
  }
  // Engines that are loaded alike stay in together: idle ones share the copies.
  const auto middle = loads.begin() + static_cast<std::ptrdiff_t>((loads.size() - 1) / 2);
  std::nth_element(loads.begin(), middle, loads.end());
  const double most = *middle;
  return rendezvous_choice(engines, query.request_id,
                           [&](const Backend& engine) { return load_of(engine, now) <= most; });
}

bool BackupChooser::may_hold(const Backend& engine, const Query& query, MonotonicTime now) const {
  if (engine.id == query.runner->id || query.avoid->contains(engine.id) ||
      fleet_.is_leaving(engine) || fleet_.is_distrusted(engine.id, now)) {
    return false;
  }
  const BackendLoad* load = loads_.find(engine.id);
  const bool avoided =
      load != nullptr && (load->ejected(now) || load->replaced(now) || load->mostly_refuses(now));
  return !avoided && (gate_ == nullptr || gate_->has_room(engine.id, now));
}

double BackupChooser::load_of(const Backend& engine, MonotonicTime now) const {
  const BackendLoad* load = loads_.find(engine.id);
  // What other nodes tell is exact; the engine's report stands in where it shows more.
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
  engine_ = BackendId();
  head_.reset();
  begun_ = false;
  if (request_id_.empty() || used_) {
    return std::nullopt;
  }
  const Backend* chosen =
      BackupChooser(fleet_, loads_, gate_)
          .choose({.runner = &runner, .request_id = request_id_, .avoid = &tried}, now);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  runner_ = runner.id;
  runner_address_ = runner.address;
  engine_ = chosen->id;
  return chosen->address;
}

void StreamBackup::note_event(const StreamEvent& event) {
  begun_ = begun_ || event.id.has_value();
  unnumbered_ = unnumbered_ || (!event.id && has_data(event.bytes));
}

bool StreamBackup::is_replaced(const BackendId& id, MonotonicTime now) const {
  const BackendLoad* load = loads_.find(id);
  return load != nullptr && load->replaced(now);
}

bool StreamBackup::is_runner_gone(const BackendId& runner, MonotonicTime now) const {
  return replicates() && !used_ && runner == runner_ &&
         (fleet_.find(runner) == nullptr || is_replaced(runner, now));
}

BackupObstacle StreamBackup::obstacle(const BrokenRun& run, MonotonicTime now) const {
  if (!replicates()) {
    return BackupObstacle::kNoBackup;
  }
  if (used_) {
    return BackupObstacle::kUsed;
  }
  if (!is_connection_break(run.error) && !run.runner_gone) {
    return BackupObstacle::kRunnerMayWork;
  }
  // A kept connection that has died says nothing of its server, which mostly never read the request
  // then: there is no copy, and asking for it costs a unit of the retry budget.
  if (run.error == http::HttpErrc::kStaleConnection && run.repeatable && !run.runner_gone) {
    return BackupObstacle::kUnsent;
  }
  // An engine that took the request without a copy would run it a second time: one that crashed
  // under its prompt was seen to have made none.
  if (!begun_) {
    return BackupObstacle::kNotBegun;
  }
  if (unnumbered_) {
    return BackupObstacle::kUnknownPosition;
  }
  return run.has_time ? engine_obstacle(now) : BackupObstacle::kNoTime;
}

BackupObstacle StreamBackup::engine_obstacle(MonotonicTime now) const {
  const Backend* backup = engine();
  if (backup == nullptr || is_replaced(engine_, now)) {
    return BackupObstacle::kGone;
  }
  if (fleet_.is_leaving(*backup)) {
    return BackupObstacle::kLeaving;
  }
  const bool open =
      gate_ == nullptr || (gate_->has_room(engine_, now) && gate_->may_send(engine_, now));
  return open ? BackupObstacle::kNone : BackupObstacle::kClosed;
}

const Backend* StreamBackup::engine() const {
  return replicates() ? fleet_.find(engine_) : nullptr;
}

}  // namespace ochrespring::gateway
