// One voter of one zone's electorate: promises leases for a while and forgets them when its process
// ends. Pure and copyable; time is handed in.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "authority/messages.h"
#include "authority/types.h"

namespace ochrespring::authority {

class Voter {
 public:
  /// A voter of a new electorate that has not been handed the running leases: it grants nothing
  /// until every lease of an earlier electorate has lapsed.
  Voter(const Electorate& electorate, VoterIdentity self, const AuthoritySettings& settings,
        MonotonicTime now);

  /// Takes over the running leases of the sealed electorate; grants from now on. A second call for
  /// the same electorate changes nothing.
  void adopt(const AdoptRequest& request, MonotonicTime now);

  /// Decides a claim or renewal.
  ClaimReply on_claim(const ClaimRequest& request, MonotonicTime now);
  /// Forgets a lease its holder has given up.
  void on_release(const ReleaseNotice& notice);
  /// Grants nothing more; returns what is promised.
  SealReply seal(MonotonicTime now);

  /// Everything that decides what this voter does next; for exploration.
  template <class Archive>
  void save_state(Archive& archive) const {
    archive << active_from_.time_since_epoch() << adopted_ << sealed_ << layout_ << highest_;
    for (const auto& [shard, promise] : promises_) {
      archive << shard << promise.holder.boot << promise.epoch << promise.released
              << promise.expires.time_since_epoch();
    }
  }

  const Electorate& electorate() const { return electorate_; }
  bool sealed() const { return sealed_; }

 private:
  /// What was last promised for one shard.
  struct Promise {
    std::uint32_t shards = 1;
    VoterIdentity holder;
    Epoch epoch;
    MonotonicTime expires;
    bool released = false;
  };

  static void merge(Promise& promise, const Promise& other);
  bool listed() const;
  bool is_live(const Promise& promise, MonotonicTime now) const;
  /// Longest remaining lease of another layout than `shards`.
  Duration other_layouts_remaining(std::uint32_t shards, MonotonicTime now) const;
  bool may_grant(const ClaimRequest& request, MonotonicTime now, ClaimReply& reply) const;
  bool epoch_allowed(const ClaimRequest& request, const Promise* promise) const;
  std::vector<LeaseRecord> live_leases(MonotonicTime now) const;
  LeaseRecord record(ShardId shard, const Promise& promise, MonotonicTime now) const;

  Electorate electorate_;
  VoterIdentity self_;
  AuthoritySettings settings_;
  MonotonicTime active_from_;
  bool adopted_ = false;
  bool sealed_ = false;
  ShardLayout layout_;
  Epoch highest_;
  std::map<ShardId, Promise> promises_;
};

}  // namespace ochrespring::authority
