#include "authority/zone_authority.h"

#include <algorithm>
#include <utility>

#include "authority/shards.h"

namespace ochrespring::authority {

namespace {

constexpr Duration kClaimBackoff = std::chrono::milliseconds(100);
constexpr Duration kNoElectorateBackoff = std::chrono::milliseconds(500);
constexpr double kJitter = 0.5;

}  // namespace

ZoneAuthority::ZoneAuthority(ZoneName zone, VoterIdentity self, const AuthoritySettings& settings,
                             const statechart::Chart& chart, external::KeyValueStore& store,
                             RandomSource& random, Callbacks callbacks)
    : zone_(std::move(zone)),
      self_(std::move(self)),
      settings_(settings),
      chart_(chart),
      random_(random),
      callbacks_(std::move(callbacks)),
      keeper_(zone_, self_, settings_, store,
              {callbacks_.send, [this](const Electorate& electorate) { on_electorate(electorate); },
               callbacks_.machine_gone}) {}

void ZoneAuthority::configure(ShardLayout layout, MonotonicTime now) {
  now_ = now;
  take_layout(layout);
}

void ZoneAuthority::take_layout(ShardLayout layout) {
  if (layout.revision < layout_.revision || layout == layout_) {
    return;
  }
  const bool divided_anew = layout.shards != layout_.shards;
  layout_ = layout;
  if (divided_anew) {
    // Leases of the old layout are given up at once: no voter grants the new one before.
    for (auto& [shard, candidate] : candidates_) {
      candidate.holder.release(now_);
      run_commands(candidate);
    }
    candidates_.clear();
  }
  update_candidates();
}

void ZoneAuthority::on_members(const std::vector<membership::Member>& members) {
  members_ = members;
  update_candidates();
}

void ZoneAuthority::update_candidates() {
  for (std::uint32_t index = 0; index < layout_.shards; ++index) {
    const ShardKey key{zone_, ShardId(index)};
    const auto ranked = rank_candidates(key, members_);
    const auto own = std::find_if(ranked.begin(), ranked.end(),
                                  [&](const auto& member) { return member.node == self_.node; });
    const auto rank = static_cast<std::size_t>(own - ranked.begin());
    auto found = candidates_.find(key.shard);
    if (found == candidates_.end()) {
      if (own == ranked.end() || rank >= settings_.standbys) {
        continue;
      }
      found = candidates_
                  .emplace(key.shard, Candidate{LeaseHolder(chart_, key, self_, settings_), rank,
                                                MonotonicTime{}, std::nullopt})
                  .first;
    }
    found->second.rank = own == ranked.end() ? settings_.standbys : rank;
    configure(found->second);
    run_commands(found->second);
  }
}

void ZoneAuthority::configure(Candidate& candidate) {
  const bool eligible = wanted_ && !stopping_ && candidate.rank < settings_.standbys;
  candidate.holder.configure(keeper_.electorate().value_or(Electorate{}), layout_, eligible);
}

void ZoneAuthority::on_tick(MonotonicTime now) {
  now_ = now;
  if (!wanted_ && !keeper_.electorate()) {
    return;
  }
  keeper_.on_tick(now, members_);
  for (auto& [shard, candidate] : candidates_) {
    configure(candidate);
    candidate.holder.on_tick(now);
    if (now >= candidate.claim_at) {
      candidate.holder.claim_due(now);
    }
    run_commands(candidate);
  }
}

void ZoneAuthority::run_commands(Candidate& candidate) {
  for (const LeaseCommand command : candidate.holder.take_commands()) {
    switch (command) {
      case LeaseCommand::kSendClaim:
        ++statistics_.claims_sent;
        for (const VoterIdentity& voter : keeper_.electorate()->voters) {
          callbacks_.send(voter.peer, candidate.holder.claim_request());
        }
        break;
      case LeaseCommand::kSendRelease:
        for (const VoterIdentity& voter : keeper_.electorate().value_or(Electorate{}).voters) {
          callbacks_.send(voter.peer, candidate.holder.release_notice());
        }
        break;
      case LeaseCommand::kGained:
        ++statistics_.leases_gained;
        candidate.hint = self_;
        callbacks_.on_gained(candidate.holder.lease());
        break;
      case LeaseCommand::kLost:
        ++statistics_.leases_lost;
        candidate.hint.reset();
        callbacks_.on_lost(candidate.holder.lease().key);
        break;
      case LeaseCommand::kScheduleClaim:
        schedule_claim(candidate);
        break;
    }
  }
}

/// The best-ranked candidate tries first; the others follow, so that few contend.
void ZoneAuthority::schedule_claim(Candidate& candidate) {
  Duration wait =
      candidate.holder.retry_after() + settings_.rank_delay * static_cast<int>(candidate.rank);
  if (candidate.holder.retry_after() == Duration::zero()) {
    wait += keeper_.electorate() ? kClaimBackoff : kNoElectorateBackoff;
  }
  candidate.claim_at = now_ + wait + random_.jitter(kClaimBackoff, kJitter);
}

void ZoneAuthority::stop(MonotonicTime now) {
  now_ = now;
  stopping_ = true;
  for (auto& [shard, candidate] : candidates_) {
    configure(candidate);
    const bool holding = candidate.holder.holds(now);
    const HeldLease lease = candidate.holder.lease();
    candidate.holder.release(now);
    run_commands(candidate);
    if (holding) {
      announce_handover(lease.key, lease.epoch);
    }
  }
}

void ZoneAuthority::announce_handover(const ShardKey& key, Epoch epoch) {
  for (const membership::Member& member : rank_candidates(key, members_)) {
    if (member.node != self_.node) {
      callbacks_.send(member.peer, HandoverNotice{key, epoch});
      return;
    }
  }
}

void ZoneAuthority::require_epoch_above(ShardId shard, Epoch epoch, MonotonicTime now) {
  now_ = now;
  const auto electorate = keeper_.electorate();
  if (electorate && generation_of(epoch) > electorate->generation) {
    keeper_.raise_floor(generation_of(epoch));
    return;
  }
  const auto found = candidates_.find(shard);
  if (found != candidates_.end() && found->second.holder.holds(now) &&
      found->second.holder.lease().epoch <= epoch) {
    found->second.holder.raise_epoch(epoch, now);
    run_commands(found->second);
  }
}

std::optional<HeldLease> ZoneAuthority::held(ShardId shard, MonotonicTime now) const {
  const auto found = candidates_.find(shard);
  if (found == candidates_.end() || !found->second.holder.holds(now)) {
    return std::nullopt;
  }
  return found->second.holder.lease();
}

std::optional<VoterIdentity> ZoneAuthority::holder_hint(ShardId shard) const {
  const auto found = candidates_.find(shard);
  return found == candidates_.end() ? std::nullopt : found->second.hint;
}

void ZoneAuthority::on_electorate(const Electorate& electorate) {
  const VoterIdentity* listed = electorate.find(self_.node);
  const bool votes =
      listed != nullptr && (listed->boot == self_.boot || settings_.faults.restarted_voter_votes);
  voter_.reset();
  if (votes) {
    voter_.emplace(electorate, self_, settings_, now_);
    if (sealed_ >= electorate.generation) {
      voter_->seal(now_);
    }
  }
  for (auto& [shard, candidate] : candidates_) {
    configure(candidate);
    candidate.claim_at = std::min(candidate.claim_at,
                                  now_ + settings_.rank_delay * static_cast<int>(candidate.rank));
  }
}

void ZoneAuthority::on_message(const Endpoint& from, const AuthorityMessage& message,
                               MonotonicTime now) {
  now_ = now;
  std::visit([&](const auto& alternative) { handle(from, alternative); }, message);
}

void ZoneAuthority::handle(const Endpoint& from, const ClaimRequest& request) {
  const auto& electorate = keeper_.electorate();
  if (!electorate || request.generation > electorate->generation) {
    keeper_.on_generation(request.generation);
  }
  ClaimReply reply;
  if (voter_) {
    reply = voter_->on_claim(request, now_);
    ++statistics_.claims_answered;
  } else {
    reply.key = request.key;
    reply.generation = electorate ? electorate->generation : Generation();
    reply.voter = self_.node;
    reply.boot = self_.boot;
    reply.round = request.round;
  }
  callbacks_.send(from, reply);
}

void ZoneAuthority::handle(const Endpoint& /*from*/, const ClaimReply& reply) {
  const auto& electorate = keeper_.electorate();
  if (electorate && reply.generation > electorate->generation) {
    keeper_.on_generation(reply.generation);
  }
  const auto found = candidates_.find(reply.key.shard);
  if (found != candidates_.end()) {
    if (reply.holder) {
      found->second.hint = reply.holder->holder;
    }
    found->second.holder.on_reply(reply, now_);
    run_commands(found->second);
  }
  take_layout(reply.layout);
}

void ZoneAuthority::handle(const Endpoint& /*from*/, const ReleaseNotice& notice) {
  if (voter_ && voter_->electorate().generation == notice.generation) {
    voter_->on_release(notice);
  }
}

void ZoneAuthority::handle(const Endpoint& /*from*/, const HandoverNotice& notice) {
  const auto found = candidates_.find(notice.key.shard);
  if (found != candidates_.end()) {
    found->second.holder.note_epoch(notice.epoch);
    found->second.claim_at = now_;
    found->second.holder.claim_due(now_);
    run_commands(found->second);
  }
}

void ZoneAuthority::handle(const Endpoint& from, const ElectorateQuery& /*query*/) {
  callbacks_.send(from, ElectorateInfo{zone_, self_, keeper_.electorate(),
                                       voter_.has_value() && voter_->sealed()});
}

void ZoneAuthority::handle(const Endpoint& /*from*/, const ElectorateInfo& info) {
  keeper_.on_info(info, now_);
}

void ZoneAuthority::handle(const Endpoint& from, const SealRequest& request) {
  sealed_ = std::max(sealed_, request.generation);
  if (voter_ && voter_->electorate().generation == request.generation) {
    callbacks_.send(from, voter_->seal(now_));
    return;
  }
  callbacks_.send(from, SealReply{zone_, request.generation, self_, false, layout_, {}});
}

void ZoneAuthority::handle(const Endpoint& /*from*/, const SealReply& reply) {
  keeper_.on_seal_reply(reply);
}

void ZoneAuthority::handle(const Endpoint& /*from*/, const AdoptRequest& request) {
  keeper_.learn(request.electorate);
  if (voter_ && voter_->electorate() == request.electorate) {
    voter_->adopt(request, now_);
  }
}

}  // namespace ochrespring::authority
