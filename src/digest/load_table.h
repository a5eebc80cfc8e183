// Freshest known load of every engine of this node's group.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "digest/load_record.h"
#include "digest/poll_assignment.h"

namespace ochrespring::digest {

/// Load of one engine and when its figures were true.
struct LoadReading {
  engine::LoadReport report;
  MonotonicTime taken;
  bool aggregated = false;  ///< A mean over the engines of its kind in its zone.
};

/// Used on the control loop only.
class LoadTable {
 public:
  /// Replaces the servers; what is known of those that stay is kept.
  void set_servers(std::vector<ServerLayout> servers);
  const std::vector<ServerLayout>& servers() const { return layouts_; }
  std::size_t engine_count() const { return positions_.size(); }

  /// Takes a record if it is newer than what is known; returns whether it was.
  bool apply(const LoadRecord& record, MonotonicTime now);
  /// The record of a server with its age as of `now`; none if nothing is known.
  std::optional<LoadRecord> record(std::uint32_t server, MonotonicTime now) const;
  /// The same, coarsened.
  std::optional<LoadRecord> coarse_record(std::uint32_t server, MonotonicTime now) const;

  /// Load of an engine; none if unknown or not of this group.
  std::optional<LoadReading> find(const EngineId& engine) const;

 private:
  struct EngineState {
    bool present = false;
    bool slow_known = false;
    SlowFigures slow;
    std::uint8_t kv_share = 0;
    engine::LoadReport report;
  };
  struct ServerState {
    std::uint8_t layout = 0;
    bool known = false;
    LoadRecord record;
    MonotonicTime taken;
    std::vector<EngineState> engines;
  };
  struct Position {
    std::uint32_t server = 0;
    std::size_t engine = 0;
  };

  static bool newer(const LoadRecord& record, MonotonicTime taken, MonotonicTime now,
                    const ServerState& known);
  static void apply_engine(EngineState& state, const UnpackedEngine& unpacked);

  std::vector<ServerLayout> layouts_;
  std::unordered_map<std::uint32_t, ServerState> servers_;
  std::unordered_map<EngineId, Position> positions_;
};

}  // namespace ochrespring::digest
