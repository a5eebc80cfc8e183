// The member table: merges news so that every node ends with the same table in whatever order news
// arrives. Pure; no time of its own.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "membership/member_view.h"
#include "membership/messages.h"

namespace ochrespring::membership {

/// Number of buckets anti-entropy divides the table into.
inline constexpr std::uint32_t kBuckets = 32;

/// Whether news (incarnation, state) replaces what is known. Higher incarnations win; within one,
/// alive < suspect < leaving < dead.
bool supersedes(Incarnation news_incarnation, MemberState news_state, Incarnation known_incarnation,
                MemberState known_state);

/// Bucket of a node.
std::uint32_t bucket_of(const NodeId& node);

/// One entry of the table.
struct MemberRecord {
  Member member;
  MonotonicTime changed;  ///< When the state last changed here.
};

enum class MergeResult : std::uint8_t {
  kChanged,  ///< The table took the news.
  kKnown,    ///< Nothing new.
  kOlder,    ///< The table knows newer.
  kUnknown,  ///< Short news of a member the table has no place for.
};

/// Members by node id, dead ones kept as tombstones for a while so that old news cannot revive
/// them.
class MemberTable {
 public:
  /// Merges one update.
  MergeResult merge(const MemberUpdate& update, MonotonicTime now);
  /// Entry of a node, dead or not; null if unknown. Valid until the table changes.
  const MemberRecord* find(const NodeId& node) const;
  /// Members not dead, ordered by node id.
  std::vector<Member> living() const;
  const std::map<NodeId, MemberRecord>& records() const { return records_; }
  std::size_t living_count() const { return records_.size() - dead_; }
  std::uint64_t version() const { return version_; }
  /// Grows when a member appears, dies, returns or moves; not on suspicion.
  std::uint64_t topology() const { return topology_; }

  /// Drops tombstones older than `retention`, and the oldest above `limit`.
  void forget_dead(MonotonicTime now, Duration retention, std::size_t limit);

  /// Hash of all members not dead; suspicion does not count.
  std::uint64_t hash() const;
  /// Hash of each bucket.
  std::vector<std::uint32_t> bucket_hashes() const;
  /// Full updates for the members of a bucket; tombstones are left out.
  std::vector<MemberUpdate> bucket(std::uint32_t bucket) const;

 private:
  void refresh_hashes() const;

  std::map<NodeId, MemberRecord> records_;
  std::size_t dead_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t topology_ = 0;
  mutable std::vector<std::uint32_t> hashes_;
  mutable std::uint64_t hashed_version_ = UINT64_MAX;
};

/// Update that carries the whole record.
MemberUpdate full_update(const Member& member);

}  // namespace ochrespring::membership
