// Keeps requests away from back ends, and zones, that fail. Pure.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::proxy {

struct BreakerSettings {
  std::uint32_t consecutive_failures = 5;  ///< Of one back end, before it is left alone.
  Duration open_for{std::chrono::seconds(2)};
  std::uint32_t zone_open_percent = 60;   ///< Of a zone's failing back ends, before all are left.
  std::uint32_t zone_least_backends = 3;  ///< Smaller zones have no breaker of their own.
};

/// One circuit. Closed lets everything pass, open nothing; once its time is over, it lets one probe
/// pass and its result decides.
class CircuitBreaker {
 public:
  bool allows(MonotonicTime now) const { return !open_ || (now >= open_until_ && !probing_); }
  bool open() const { return open_; }
  /// An attempt begins.
  void on_start(MonotonicTime now);
  void on_success();
  void on_failure(const BreakerSettings& settings, MonotonicTime now);
  /// An attempt ended without saying anything about the back end, for example by cancellation.
  void on_neutral() { probing_ = false; }

 private:
  bool open_ = false;
  bool probing_ = false;
  std::uint32_t failures_ = 0;
  MonotonicTime open_until_;
};

/// Circuits of all back ends of one proxy. A zone most of whose back ends are open is taken to be
/// lost: the rest of it is avoided without trying each, so that a zone's death costs each proxy a
/// handful of failures instead of one per engine and request.
class BreakerTable {
 public:
  explicit BreakerTable(const BreakerSettings& settings) : settings_(settings) {}

  void on_start(const EngineId& engine, MonotonicTime now);
  void on_success(const EngineId& engine);
  void on_failure(const EngineId& engine, MonotonicTime now);
  void on_neutral(const EngineId& engine);
  /// The fleet's back ends have changed; circuits of those gone are forgotten.
  void set_backends(const std::vector<std::pair<EngineId, ZoneName>>& backends);
  /// Back ends that must not get a request now.
  std::vector<EngineId> blocked(MonotonicTime now) const;
  /// Number of open circuits.
  std::size_t open_circuits() const { return open_.size(); }

 private:
  struct Zone {
    std::vector<EngineId> backends;
    std::uint32_t open = 0;
  };

  bool zone_lost(const Zone& zone) const;
  void note_open(const EngineId& engine, bool open);

  BreakerSettings settings_;
  std::unordered_map<EngineId, CircuitBreaker> circuits_;  ///< Of back ends that failed lately.
  std::unordered_map<EngineId, ZoneName> zone_of_;
  std::unordered_map<ZoneName, Zone> zones_;
  std::vector<EngineId> open_;
};

}  // namespace ochrespring::proxy
