#include "digest/load_table.h"

#include <algorithm>
#include <utility>

namespace ochrespring::digest {

namespace {

constexpr std::int64_t kLargestAgeMilliseconds = UINT16_MAX;
constexpr Duration kRoundsComparable = std::chrono::seconds(30);

std::uint16_t age_of(MonotonicTime taken, MonotonicTime now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - taken).count();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, kLargestAgeMilliseconds));
}

}  // namespace

void LoadTable::set_servers(std::vector<ServerLayout> servers) {
  std::unordered_map<std::uint32_t, ServerState> kept = std::move(servers_);
  servers_.clear();
  positions_.clear();
  for (const ServerLayout& layout : servers) {
    const auto known = kept.find(layout.hash);
    ServerState state;
    if (known != kept.end() && known->second.layout == layout.layout) {
      state = std::move(known->second);
    }
    state.layout = layout.layout;
    state.engines.resize(layout.engines.size());
    for (std::size_t engine = 0; engine < layout.engines.size(); ++engine) {
      state.engines[engine].report.engine = layout.engines[engine];
      positions_[layout.engines[engine]] = {layout.hash, engine};
    }
    servers_[layout.hash] = std::move(state);
  }
  layouts_ = std::move(servers);
}

bool LoadTable::newer(const LoadRecord& record, MonotonicTime taken, MonotonicTime now,
                      const ServerState& known) {
  // Rounds wrap; after a silence they say nothing any more.
  if (!known.known || now - known.taken > kRoundsComparable) {
    return true;
  }
  if (record.poller != known.record.poller) {
    return taken > known.taken;
  }
  const auto ahead = static_cast<std::int8_t>(record.round - known.record.round);
  return ahead > 0;
}

bool LoadTable::apply(const LoadRecord& record, MonotonicTime now) {
  const auto found = servers_.find(record.server);
  if (found == servers_.end() || found->second.layout != record.layout) {
    return false;
  }
  ServerState& state = found->second;
  const MonotonicTime taken = now - std::chrono::milliseconds(record.age_milliseconds);
  if (!newer(record, taken, now, state)) {
    return false;
  }
  const std::vector<UnpackedEngine> unpacked =
      unpack_engines(record.engines, record.level, state.engines.size());
  if (unpacked.size() != state.engines.size()) {
    return false;
  }
  state.known = true;
  state.record = record;
  state.taken = taken;
  for (std::size_t engine = 0; engine < unpacked.size(); ++engine) {
    apply_engine(state.engines[engine], unpacked[engine]);
  }
  return true;
}

void LoadTable::apply_engine(EngineState& state, const UnpackedEngine& unpacked) {
  state.present = unpacked.present;
  if (!unpacked.present) {
    return;
  }
  const EngineId engine = state.report.engine;
  const std::uint64_t sequence = state.report.sequence + 1;
  state.report = unpacked.report;
  state.report.engine = engine;
  state.report.sequence = sequence;
  state.kv_share = unpacked.kv_share;
  if (unpacked.has_slow) {
    state.slow = unpacked.slow;
    state.slow_known = true;
  }
  apply_slow(state.report, state.slow, state.kv_share);
}

std::optional<LoadRecord> LoadTable::record(std::uint32_t server, MonotonicTime now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !found->second.known) {
    return std::nullopt;
  }
  LoadRecord record = found->second.record;
  record.age_milliseconds = age_of(found->second.taken, now);
  return record;
}

std::optional<LoadRecord> LoadTable::coarse_record(std::uint32_t server, MonotonicTime now) const {
  std::optional<LoadRecord> coarse = record(server, now);
  if (!coarse || coarse->level == DetailLevel::kCoarse) {
    return coarse;
  }
  const ServerState& state = servers_.at(server);
  const std::vector<UnpackedEngine> unpacked =
      unpack_engines(coarse->engines, coarse->level, state.engines.size());
  std::vector<PackedEngine> engines(unpacked.size());
  for (std::size_t engine = 0; engine < unpacked.size(); ++engine) {
    engines[engine].report = state.engines[engine].report;
    engines[engine].present = unpacked[engine].present;
    engines[engine].send_slow = unpacked[engine].has_slow;
  }
  coarse->level = DetailLevel::kCoarse;
  coarse->engines = pack_engines(engines, DetailLevel::kCoarse);
  return coarse;
}

std::optional<LoadReading> LoadTable::find(const EngineId& engine) const {
  const auto position = positions_.find(engine);
  if (position == positions_.end()) {
    return std::nullopt;
  }
  const ServerState& server = servers_.at(position->second.server);
  const EngineState& state = server.engines[position->second.engine];
  if (!server.known || !state.present || !state.slow_known) {
    return std::nullopt;
  }
  return LoadReading{state.report, server.taken, false};
}

}  // namespace ochrespring::digest
