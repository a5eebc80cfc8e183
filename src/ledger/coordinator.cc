#include "ledger/coordinator.h"

#include <utility>
#include <vector>

namespace ochrespring::ledger {

namespace {

/// Outcome that tells most among the replies that found the key held.
RecordedOutcome best_outcome(const std::map<BootId, ClaimReply>& votes) {
  RecordedOutcome best;
  for (const auto& [voter, reply] : votes) {
    const bool tells_more =
        reply.outcome.state == RecordedState::kAnswered || best.state == RecordedState::kRunning;
    if (reply.vote == Vote::kHeld && tells_more) {
      best = reply.outcome;
    }
  }
  return best;
}

std::size_t count_votes(const std::map<BootId, ClaimReply>& votes, Vote vote) {
  std::size_t count = 0;
  for (const auto& [voter, reply] : votes) {
    count += reply.vote == vote ? 1 : 0;
  }
  return count;
}

std::set<BootId> voters(const std::map<BootId, ClaimReply>& votes) {
  std::set<BootId> boots;
  for (const auto& [voter, reply] : votes) {
    boots.insert(voter);
  }
  return boots;
}

}  // namespace

Coordinator::Coordinator(const LedgerSettings& settings, BootId self, const Clock& clock,
                         TimerService& timers, LedgerSender& sender)
    : settings_(settings),
      self_(self),
      clock_(clock),
      timers_(timers),
      sender_(sender),
      tick_timer_(timers) {}

const Assignment* Coordinator::assignment(PartitionId partition) const {
  if (partition.value() >= roster_.partitions.size()) {
    return nullptr;
  }
  return &roster_.partitions[partition.value()];
}

Address Coordinator::address_of(const ClaimKey& key) const {
  if (roster_.partitions.empty()) {
    return Address{};
  }
  const PartitionId partition = partition_of(key, roster_.partitions.size());
  return Address{partition, roster_.partitions[partition.value()].generation};
}

template <class Request>
void Coordinator::send_to_silent(const Request& request, const std::set<BootId>& heard) {
  const Assignment* replicas = assignment(request.address.partition);
  if (replicas == nullptr) {
    return;
  }
  for (const Replica& replica : replicas->replicas) {
    if (!heard.contains(replica.boot)) {
      sender_.send(replica.endpoint, request);
    }
  }
}

template <class Request>
void Coordinator::send_to_replicas(const Request& request) {
  send_to_silent(request, {});
}

void Coordinator::claim(const ClaimKey& key, std::uint64_t body_hash,
                        std::function<void(ClaimResult)> done) {
  const ClaimId claim{self_, next_claim_++};
  PendingClaim pending{
      ClaimRequest{address_of(key), claim, key, body_hash}, {}, std::move(done), clock_.now()};
  const auto [position, inserted] = claims_.emplace(claim, std::move(pending));
  send_to_replicas(position->second.request);
  arm_tick();
}

void Coordinator::on_claim_reply(const ClaimReply& reply) {
  const auto found = claims_.find(reply.claim);
  if (found == claims_.end() || found->second.request.address != reply.address) {
    return;
  }
  if (reply.vote == Vote::kNotVoting) {
    return;  // It may vote later, or another generation is about to replace this one.
  }
  found->second.votes.insert_or_assign(reply.voter, reply);
  decide(reply.claim);
}

void Coordinator::decide(ClaimId claim) {
  const PendingClaim& pending = claims_.at(claim);
  const Assignment* replicas = assignment(pending.request.address.partition);
  const std::size_t needed =
      settings_.testing_faults.grant_on_first_vote ? 1 : majority_of(replicas->replicas.size());
  if (count_votes(pending.votes, Vote::kGrant) >= needed) {
    const auto usable = Duration(static_cast<Duration::rep>(
        static_cast<double>(settings_.window.count()) * (1.0 - kLargestDrift)));
    finish_claim(claim, ClaimResult{ClaimVerdict::kGranted, {}, pending.started + usable});
    return;
  }
  const std::size_t answers = pending.votes.size();
  const std::size_t missing = replicas->replicas.size() - answers;
  const bool still_possible = count_votes(pending.votes, Vote::kGrant) + missing >= needed;
  if (still_possible) {
    return;
  }
  if (count_votes(pending.votes, Vote::kOtherBody) > 0) {
    finish_claim(claim, ClaimResult{ClaimVerdict::kKeyReused, {}, {}});
  } else if (count_votes(pending.votes, Vote::kHeld) > 0) {
    finish_claim(claim, ClaimResult{ClaimVerdict::kRepeated, best_outcome(pending.votes), {}});
  } else {
    finish_claim(claim, ClaimResult{ClaimVerdict::kUnavailable, {}, {}});
  }
}

void Coordinator::finish_claim(ClaimId claim, ClaimResult result) {
  auto pending = std::move(claims_.extract(claim).mapped());
  switch (result.verdict) {
    case ClaimVerdict::kGranted:
      ++statistics_.granted;
      granted_.insert_or_assign(pending.request.key, Granted{claim, pending.request.body_hash});
      break;
    case ClaimVerdict::kRepeated:
      ++statistics_.repeated;
      break;
    case ClaimVerdict::kKeyReused:
      ++statistics_.keys_reused;
      break;
    case ClaimVerdict::kUnavailable:
      ++statistics_.unavailable;
      break;
  }
  if (result.verdict != ClaimVerdict::kGranted) {
    // Nothing ran under this claim, so the votes it did get must not hold the key.
    send_release(claim, pending.request.key);
  }
  pending.done(std::move(result));
}

void Coordinator::record(const ClaimKey& key, RecordedOutcome outcome,
                         std::function<void(bool)> done) {
  const auto found = granted_.find(key);
  if (found == granted_.end()) {
    timers_.schedule_after(Duration::zero(), [done = std::move(done)] { done(false); });
    return;
  }
  const Granted granted = found->second;
  granted_.erase(found);
  if (outcome.body.size() > settings_.largest_outcome_bytes) {
    outcome.body.clear();
    outcome.body_kept = false;
  }
  PendingRecord pending{
      RecordRequest{address_of(key), granted.claim, key, granted.body_hash, std::move(outcome)},
      {},
      std::move(done),
      clock_.now()};
  const auto [position, inserted] = records_.emplace(granted.claim, std::move(pending));
  send_to_replicas(position->second.request);
  arm_tick();
}

void Coordinator::on_record_reply(const RecordReply& reply) {
  const auto found = records_.find(reply.claim);
  const bool counts =
      found != records_.end() && reply.recorded && found->second.request.address == reply.address;
  if (!counts) {
    return;
  }
  found->second.acknowledged.insert(reply.voter);
  const Assignment* replicas = assignment(reply.address.partition);
  if (found->second.acknowledged.size() >= majority_of(replicas->replicas.size())) {
    finish_record(reply.claim, true);
  }
}

void Coordinator::finish_record(ClaimId claim, bool recorded) {
  auto pending = std::move(records_.extract(claim).mapped());
  ++(recorded ? statistics_.recorded : statistics_.record_timeouts);
  pending.done(recorded);
}

void Coordinator::release(const ClaimKey& key) {
  const auto found = granted_.find(key);
  if (found == granted_.end()) {
    return;
  }
  const ClaimId claim = found->second.claim;
  granted_.erase(found);
  send_release(claim, key);
}

void Coordinator::send_release(ClaimId claim, const ClaimKey& key) {
  send_to_replicas(ReleaseRequest{address_of(key), claim, key});
}

void Coordinator::update(const Roster& roster) {
  roster_ = roster;
  for (auto& [claim, pending] : claims_) {
    const Address address = address_of(pending.request.key);
    if (address != pending.request.address) {
      pending.request.address = address;
      pending.votes.clear();  // A majority counts within one generation only.
      send_to_replicas(pending.request);
    }
  }
  for (auto& [claim, pending] : records_) {
    const Address address = address_of(pending.request.key);
    if (address != pending.request.address) {
      pending.request.address = address;
      pending.acknowledged.clear();
      send_to_replicas(pending.request);
    }
  }
}

void Coordinator::tick() {
  const MonotonicTime now = clock_.now();
  std::vector<ClaimId> late_claims;
  for (const auto& [claim, pending] : claims_) {
    if (now - pending.started >= settings_.claim_timeout) {
      late_claims.push_back(claim);
    } else {
      send_to_silent(pending.request, voters(pending.votes));
    }
  }
  std::vector<ClaimId> late_records;
  for (const auto& [claim, pending] : records_) {
    if (now - pending.started >= settings_.record_timeout) {
      late_records.push_back(claim);
    } else {
      send_to_silent(pending.request, pending.acknowledged);
    }
  }
  for (const ClaimId claim : late_claims) {
    const auto& votes = claims_.at(claim).votes;
    const bool held = count_votes(votes, Vote::kHeld) > 0;
    // A single replica that holds the key may speak of a request that ran: do not say "not run".
    finish_claim(claim, held ? ClaimResult{ClaimVerdict::kRepeated, best_outcome(votes), {}}
                             : ClaimResult{ClaimVerdict::kUnavailable, {}, {}});
  }
  for (const ClaimId claim : late_records) {
    finish_record(claim, false);
  }
  arm_tick();
}

void Coordinator::arm_tick() {
  if (tick_timer_.armed() || (claims_.empty() && records_.empty())) {
    return;
  }
  tick_timer_.arm(settings_.retransmit, [this] { tick(); });
}

}  // namespace ochrespring::ledger
