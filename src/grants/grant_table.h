// Proxy's side of routing grants: until when each engine may be given new work. Pure and copyable;
// time is handed in.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "grants/messages.h"

namespace ochrespring::grants {

/// What a proxy may do with one engine.
struct EngineGrant {
  MonotonicTime dispatchable_until;  ///< Nothing is dispatched at or after this.
  bool draining = false;             ///< Restricted by the holder.
  bool moving = false;               ///< Streams in flight are to move away.
};

/// An engine and where it is.
struct EngineSite {
  EngineId engine;
  ServerId server;
  ZoneName zone;
};

class GrantTable {
 public:
  explicit GrantTable(const GrantSettings& settings) : settings_(settings) {}

  /// Engines the proxy may dispatch to; others are forgotten.
  void set_engines(const std::vector<EngineSite>& engines);
  /// Takes a reply to a request that was sent at `sent`.
  void on_reply(const GrantReply& reply, MonotonicTime sent, MonotonicTime now);
  /// Takes rules; returns whether they were newer than those in force.
  bool on_rules(const authority::ShardKey& key, std::uint32_t shards, const ShardRules& rules,
                MonotonicTime now);

  /// Everything that decides what this table does next; for exploration.
  template <class Archive>
  void save_state(Archive& archive) const {
    for (const auto& [engine, record] : engines_) {
      archive << engine << record.version << record.until.time_since_epoch() << record.blocked
              << record.draining << record.moving;
    }
    for (const auto& [key, version] : applied_) {
      archive << version;
    }
  }

  EngineGrant grant(const EngineId& engine) const;
  /// Version in force for a shard, to be acknowledged.
  GrantVersion applied(const authority::ShardKey& key, std::uint32_t shards) const;
  /// Restricted engines of a shard.
  std::vector<EngineId> restricted(const authority::ShardKey& key, std::uint32_t shards) const;

 private:
  struct EngineRecord {
    EngineSite site;
    GrantVersion version;
    MonotonicTime until;
    bool blocked = true;  ///< Not to be used: restricted, or not known to be safe.
    bool draining = false;
    bool moving = false;
  };
  using ShardVersionKey = std::pair<authority::ShardKey, std::uint32_t>;

  static bool belongs(const EngineRecord& record, const authority::ShardKey& key,
                      std::uint32_t shards);
  void apply(EngineRecord& record, const ShardRules& rules, MonotonicTime now) const;

  GrantSettings settings_;
  std::map<EngineId, EngineRecord> engines_;
  std::map<ShardVersionKey, GrantVersion> applied_;
};

}  // namespace ochrespring::grants
