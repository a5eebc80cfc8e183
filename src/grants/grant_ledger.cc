#include "grants/grant_ledger.h"

#include <algorithm>

namespace ochrespring::grants {

GrantLedger::GrantLedger(Epoch epoch, MonotonicTime gained, const GrantSettings& settings)
    : settings_(settings), gained_(gained), version_{epoch, 1} {}

void GrantLedger::set_engines(const std::vector<EngineId>& engines) {
  const std::set<EngineId> updated(engines.begin(), engines.end());
  if (updated == engines_) {
    return;
  }
  engines_ = updated;
  std::erase_if(fenced_, [&](const EngineId& engine) { return !engines_.contains(engine); });
  std::erase_if(restricted_, [&](const auto& entry) { return !engines_.contains(entry.first); });
  advance();
}

bool GrantLedger::restrict_engine(const EngineId& engine, Restriction restriction) {
  const auto [entry, added] = restricted_.try_emplace(engine);
  if (!added && entry->second.restriction == restriction) {
    return false;
  }
  advance();
  entry->second.restriction = restriction;
  if (added) {
    entry->second.since = version_;
  }
  return true;
}

bool GrantLedger::lift(const EngineId& engine) {
  if (restricted_.erase(engine) == 0) {
    return false;
  }
  advance();
  return true;
}

void GrantLedger::set_fenced(const EngineId& engine, bool fenced) {
  const bool changed = fenced ? fenced_.insert(engine).second : fenced_.erase(engine) > 0;
  if (changed) {
    advance();
  }
}

GrantReply GrantLedger::on_request(const GrantRequest& request, const Endpoint& from,
                                   MonotonicTime now) {
  ProxyGrant& proxy = proxies_[ProxyKey{request.proxy, request.boot}];
  proxy.endpoint = from;
  // Counted from the answer, which is later than when the proxy counts from.
  proxy.until = now + settings_.holder_time();
  if (request.round >= proxy.round) {
    proxy.round = request.round;
    proxy.in_flight = request.in_flight;
  }
  if (request.applied.epoch == version_.epoch) {
    proxy.applied = std::max(proxy.applied, request.applied);
  }
  GrantReply reply;
  reply.key = request.key;
  reply.shards = request.shards;
  reply.round = request.round;
  reply.time_to_live = settings_.time_to_live;
  reply.version = version_;
  if (request.applied != version_) {
    reply.rules = rules();
  }
  return reply;
}

bool GrantLedger::acknowledged(const EngineId& engine, MonotonicTime now) const {
  const auto found = restricted_.find(engine);
  if (found == restricted_.end()) {
    return false;
  }
  const bool earlier_grants_over =
      settings_.faults.unknown_grants_ignored || now >= gained_ + settings_.holder_time();
  if (!earlier_grants_over) {
    return false;
  }
  return std::all_of(proxies_.begin(), proxies_.end(), [&](const auto& entry) {
    const ProxyGrant& proxy = entry.second;
    const bool over = now >= proxy.until || settings_.faults.expiry_ignored;
    return over || proxy.applied >= found->second.since;
  });
}

std::uint32_t GrantLedger::in_flight(const EngineId& engine, MonotonicTime now) const {
  std::uint32_t total = 0;
  for (const auto& [key, proxy] : proxies_) {
    for (const EngineInFlight& count : proxy.in_flight) {
      total += now < proxy.until && count.engine == engine ? count.requests : 0;
    }
  }
  return total;
}

ShardRules GrantLedger::rules() const {
  ShardRules rules;
  rules.version = version_;
  for (const auto& [engine, entry] : restricted_) {
    rules.restricted.push_back({engine, entry.restriction});
  }
  rules.listed_are_fenced = 2 * fenced_.size() < engines_.size();
  for (const EngineId& engine : engines_) {
    if (fenced_.contains(engine) == rules.listed_are_fenced) {
      rules.listed.push_back(engine);
    }
  }
  return rules;
}

std::set<Endpoint> GrantLedger::proxies(MonotonicTime now) const {
  std::set<Endpoint> endpoints;
  for (const auto& [key, proxy] : proxies_) {
    if (now < proxy.until) {
      endpoints.insert(proxy.endpoint);
    }
  }
  return endpoints;
}

void GrantLedger::expire(MonotonicTime now) {
  std::erase_if(proxies_, [&](const auto& entry) { return now >= entry.second.until; });
}

}  // namespace ochrespring::grants
