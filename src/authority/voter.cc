#include "authority/voter.h"

#include <algorithm>
#include <utility>

namespace ochrespring::authority {

Voter::Voter(const Electorate& electorate, VoterIdentity self, const AuthoritySettings& settings,
             MonotonicTime now)
    : electorate_(electorate),
      self_(std::move(self)),
      settings_(settings),
      active_from_(settings.faults.activates_without_wait ? now : now + settings.lease),
      highest_(make_epoch(electorate.generation, 0)) {}

void Voter::adopt(const AdoptRequest& request, MonotonicTime now) {
  if (adopted_ || now >= active_from_) {
    return;
  }
  adopted_ = true;
  active_from_ = now;
  layout_ = request.layout;
  for (const LeaseRecord& lease : request.leases) {
    // What remained when it was sealed is at least what remains now: the record only travelled.
    const Duration remaining = std::min(lease.remaining, settings_.lease);
    const Promise promise{lease.shards, lease.holder, lease.epoch, now + remaining, false};
    const auto [entry, added] = promises_.emplace(lease.shard, promise);
    if (!added) {
      merge(entry->second, promise);
    }
  }
}

/// Voters may report different holders of one shard, of which at most one had a majority. Which one
/// cannot be told, so the shard is kept from all until every such lease has lapsed.
void Voter::merge(Promise& promise, const Promise& other) {
  if (promise.holder != other.holder) {
    promise.holder = VoterIdentity{};
  }
  promise.epoch = std::max(promise.epoch, other.epoch);
  promise.expires = std::max(promise.expires, other.expires);
}

ClaimReply Voter::on_claim(const ClaimRequest& request, MonotonicTime now) {
  ClaimReply reply;
  reply.key = request.key;
  reply.generation = electorate_.generation;
  reply.voter = self_.node;
  reply.boot = self_.boot;
  reply.round = request.round;
  reply.granted = may_grant(request, now, reply);
  if (reply.granted) {
    highest_ = std::max(highest_, request.epoch);
    if (request.layout.revision > layout_.revision) {
      layout_ = request.layout;
    }
    promises_[request.key.shard] = Promise{request.layout.shards, request.claimant, request.epoch,
                                           now + settings_.lease, false};
  }
  reply.highest = highest_;
  reply.layout = layout_;
  return reply;
}

bool Voter::may_grant(const ClaimRequest& request, MonotonicTime now, ClaimReply& reply) const {
  const bool sealed = sealed_ && !settings_.faults.seal_ignored;
  if (request.generation != electorate_.generation || sealed || !listed()) {
    return false;
  }
  if (now < active_from_) {
    reply.retry_after = active_from_ - now;
    return false;
  }
  const bool older_layout = request.layout.revision < layout_.revision;
  if (older_layout && request.layout.shards != layout_.shards) {
    return false;
  }
  // Two layouts must never be in force at once: engines would have two controllers.
  const Duration other_layouts = other_layouts_remaining(request.layout.shards, now);
  if (other_layouts > Duration::zero()) {
    reply.retry_after = other_layouts;
    return false;
  }
  const auto found = promises_.find(request.key.shard);
  const Promise* promise = found == promises_.end() ? nullptr : &found->second;
  const bool same_holder = promise != nullptr && promise->holder == request.claimant;
  if (promise != nullptr && is_live(*promise, now) && !same_holder) {
    reply.holder = record(request.key.shard, *promise, now);
    reply.retry_after = promise->expires - now;
    return settings_.faults.voter_ignores_lease && request.epoch > highest_;
  }
  return epoch_allowed(request, promise);
}

bool Voter::epoch_allowed(const ClaimRequest& request, const Promise* promise) const {
  if (!request.renewal) {
    const bool repeated = promise != nullptr && !promise->released &&
                          promise->holder == request.claimant && promise->epoch == request.epoch;
    return request.epoch > highest_ || repeated;
  }
  // A renewal that this voter has no promise for is safe: its epoch was granted by a majority, and
  // no later epoch of this shard was granted here.
  if (promise == nullptr) {
    return true;
  }
  if (promise->epoch == request.epoch) {
    return promise->holder == request.claimant && !promise->released;
  }
  return request.epoch > promise->epoch;
}

void Voter::on_release(const ReleaseNotice& notice) {
  const auto found = promises_.find(notice.key.shard);
  if (found != promises_.end() && found->second.epoch == notice.epoch &&
      found->second.holder == notice.claimant) {
    found->second.released = true;
  }
}

SealReply Voter::seal(MonotonicTime now) {
  sealed_ = true;
  return SealReply{electorate_.zone, electorate_.generation, self_, listed() && now >= active_from_,
                   layout_,          live_leases(now)};
}

bool Voter::listed() const {
  const VoterIdentity* listed = electorate_.find(self_.node);
  return listed != nullptr &&
         (listed->boot == self_.boot || settings_.faults.restarted_voter_votes);
}

bool Voter::is_live(const Promise& promise, MonotonicTime now) const {
  return !promise.released && now < promise.expires;
}

Duration Voter::other_layouts_remaining(std::uint32_t shards, MonotonicTime now) const {
  Duration longest{};
  for (const auto& [shard, promise] : promises_) {
    if (promise.shards != shards && is_live(promise, now)) {
      longest = std::max(longest, promise.expires - now);
    }
  }
  return longest;
}

std::vector<LeaseRecord> Voter::live_leases(MonotonicTime now) const {
  std::vector<LeaseRecord> leases;
  for (const auto& [shard, promise] : promises_) {
    if (is_live(promise, now)) {
      leases.push_back(record(shard, promise, now));
    }
  }
  return leases;
}

LeaseRecord Voter::record(ShardId shard, const Promise& promise, MonotonicTime now) const {
  return LeaseRecord{shard, promise.shards, promise.holder, promise.epoch, promise.expires - now};
}

}  // namespace ochrespring::authority
