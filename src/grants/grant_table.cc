#include "grants/grant_table.h"

#include <algorithm>
#include <utility>

#include "authority/shards.h"

namespace ochrespring::grants {

void GrantTable::set_engines(const std::vector<EngineSite>& engines) {
  std::map<EngineId, EngineRecord> updated;
  for (const EngineSite& site : engines) {
    const auto found = engines_.find(site.engine);
    EngineRecord record = found == engines_.end() ? EngineRecord{} : found->second;
    record.site = site;
    updated.emplace(site.engine, std::move(record));
  }
  engines_ = std::move(updated);
}

void GrantTable::on_reply(const GrantReply& reply, MonotonicTime sent, MonotonicTime now) {
  if (reply.rules) {
    on_rules(reply.key, reply.shards, *reply.rules, now);
  }
  // A grant under older rules than those in force must not extend anything.
  if (applied(reply.key, reply.shards) != reply.version) {
    return;
  }
  // Counted from when the request was sent: the holder counts from its answer, which is later.
  const MonotonicTime start = settings_.faults.deadline_from_answer ? now : sent;
  for (auto& [engine, record] : engines_) {
    if (belongs(record, reply.key, reply.shards) && record.version == reply.version) {
      record.until = std::max(record.until, start + reply.time_to_live);
    }
  }
}

bool GrantTable::on_rules(const authority::ShardKey& key, std::uint32_t shards,
                          const ShardRules& rules, MonotonicTime now) {
  GrantVersion& in_force = applied_[ShardVersionKey(key, shards)];
  if (rules.version <= in_force && !settings_.faults.older_rules_applied) {
    return false;
  }
  in_force = rules.version;
  for (auto& [engine, record] : engines_) {
    if (belongs(record, key, shards)) {
      apply(record, rules, now);
    }
  }
  return true;
}

void GrantTable::apply(EngineRecord& record, const ShardRules& rules, MonotonicTime now) const {
  // Under another division of the zone a later holder may have spoken already.
  if (rules.version < record.version && !settings_.faults.older_rules_applied) {
    return;
  }
  const EngineId& engine = record.site.engine;
  const auto restricted = std::find_if(rules.restricted.begin(), rules.restricted.end(),
                                       [&](const auto& entry) { return entry.engine == engine; });
  const bool listed =
      std::find(rules.listed.begin(), rules.listed.end(), engine) != rules.listed.end();
  const bool fenced = listed == rules.listed_are_fenced || settings_.faults.unfenced_trusted;
  const bool in_use = !record.blocked && now < record.until;
  record.version = rules.version;
  record.draining = restricted != rules.restricted.end();
  record.moving = record.draining && restricted->restriction == Restriction::kMoving;
  record.blocked = record.draining || !(fenced || in_use);
}

EngineGrant GrantTable::grant(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return {};
  }
  const EngineRecord& record = found->second;
  const MonotonicTime until = record.blocked ? MonotonicTime() : record.until;
  return EngineGrant{until, record.draining, record.moving};
}

GrantVersion GrantTable::applied(const authority::ShardKey& key, std::uint32_t shards) const {
  const auto found = applied_.find(ShardVersionKey(key, shards));
  return found == applied_.end() ? GrantVersion{} : found->second;
}

std::vector<EngineId> GrantTable::restricted(const authority::ShardKey& key,
                                             std::uint32_t shards) const {
  std::vector<EngineId> result;
  for (const auto& [engine, record] : engines_) {
    if (record.draining && belongs(record, key, shards)) {
      result.push_back(engine);
    }
  }
  return result;
}

bool GrantTable::belongs(const EngineRecord& record, const authority::ShardKey& key,
                         std::uint32_t shards) {
  return record.site.zone == key.zone &&
         authority::shard_of(record.site.server, shards) == key.shard;
}

}  // namespace ochrespring::grants
