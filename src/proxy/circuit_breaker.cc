#include "proxy/circuit_breaker.h"

#include <algorithm>

namespace ochrespring::proxy {

void CircuitBreaker::on_start(MonotonicTime now) {
  if (open_ && now >= open_until_) {
    probing_ = true;
  }
}

void CircuitBreaker::on_success() {
  *this = CircuitBreaker();
}

void CircuitBreaker::on_failure(const BreakerSettings& settings, MonotonicTime now) {
  ++failures_;
  if (!open_ && failures_ < settings.consecutive_failures) {
    return;
  }
  open_ = true;
  probing_ = false;
  open_until_ = now + settings.open_for;
}

void BreakerTable::on_start(const EngineId& engine, MonotonicTime now) {
  const auto found = circuits_.find(engine);
  if (found != circuits_.end()) {
    found->second.on_start(now);
  }
}

void BreakerTable::on_success(const EngineId& engine) {
  const auto found = circuits_.find(engine);
  if (found == circuits_.end()) {
    return;
  }
  if (found->second.open()) {
    note_open(engine, false);
  }
  circuits_.erase(found);
}

void BreakerTable::on_failure(const EngineId& engine, MonotonicTime now) {
  if (!zone_of_.contains(engine)) {
    return;
  }
  CircuitBreaker& circuit = circuits_[engine];
  const bool was_open = circuit.open();
  circuit.on_failure(settings_, now);
  if (!was_open && circuit.open()) {
    note_open(engine, true);
  }
}

void BreakerTable::on_neutral(const EngineId& engine) {
  const auto found = circuits_.find(engine);
  if (found != circuits_.end()) {
    found->second.on_neutral();
  }
}

void BreakerTable::note_open(const EngineId& engine, bool open) {
  const auto zone = zone_of_.find(engine);
  if (zone == zone_of_.end()) {
    return;
  }
  if (open) {
    open_.push_back(engine);
    ++zones_[zone->second].open;
  } else {
    std::erase(open_, engine);
    --zones_[zone->second].open;
  }
}

void BreakerTable::set_backends(const std::vector<std::pair<EngineId, ZoneName>>& backends) {
  zone_of_.clear();
  zones_.clear();
  open_.clear();
  for (const auto& [engine, zone] : backends) {
    zone_of_.emplace(engine, zone);
    zones_[zone].backends.push_back(engine);
  }
  std::erase_if(circuits_, [&](const auto& entry) { return !zone_of_.contains(entry.first); });
  for (const auto& [engine, circuit] : circuits_) {
    if (circuit.open()) {
      note_open(engine, true);
    }
  }
}

bool BreakerTable::zone_lost(const Zone& zone) const {
  return zone.backends.size() >= settings_.zone_least_backends &&
         std::uint64_t{zone.open} * 100 >=
             std::uint64_t{settings_.zone_open_percent} * zone.backends.size();
}

std::vector<EngineId> BreakerTable::blocked(MonotonicTime now) const {
  std::vector<EngineId> result;
  if (open_.empty()) {
    return result;
  }
  for (const EngineId& engine : open_) {
    if (!circuits_.at(engine).allows(now)) {
      result.push_back(engine);
    }
  }
  for (const auto& [name, zone] : zones_) {
    if (!zone_lost(zone)) {
      continue;
    }
    // Probes go to those whose circuit is open and due; the untried rest is left alone.
    for (const EngineId& engine : zone.backends) {
      const auto circuit = circuits_.find(engine);
      const bool untried = circuit == circuits_.end() || !circuit->second.open();
      if (untried) {
        result.push_back(engine);
      }
    }
  }
  return result;
}

}  // namespace ochrespring::proxy
