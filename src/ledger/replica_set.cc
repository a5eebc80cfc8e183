#include "ledger/replica_set.h"

#include <algorithm>
#include <utility>

namespace ochrespring::ledger {

namespace {

/// Generations a process that left a replica set keeps its claims for, as a source for others. The
/// generation after the next is written only once the next one votes.
constexpr std::uint64_t kGenerationsKept = 2;

}  // namespace

ReplicaSet::ReplicaSet(const LedgerSettings& settings, BootId self, const Clock& clock,
                       TimerService& timers, LedgerSender& sender)
    : settings_(settings),
      self_(self),
      clock_(clock),
      sender_(sender),
      timers_(timers),
      tick_timer_(timers) {}

bool ReplicaSet::assigned_to_self(const Assignment& assignment) const {
  return std::any_of(assignment.replicas.begin(), assignment.replicas.end(),
                     [this](const Replica& replica) { return replica.boot == self_; });
}

void ReplicaSet::update(const Roster& roster) {
  for (std::uint32_t index = 0; index < roster.partitions.size(); ++index) {
    const PartitionId id(index);
    const Assignment& assignment = roster.partitions[index];
    const auto held = partitions_.find(id);
    if (!assigned_to_self(assignment)) {
      const bool obsolete =
          held != partitions_.end() &&
          (!held->second.generation ||
           assignment.generation.value() >= held->second.generation->value() + kGenerationsKept);
      if (obsolete) {
        partitions_.erase(held);
      }
      continue;
    }
    Partition& partition = partitions_[id];
    if (!partition.store) {
      partition.store = std::make_unique<ClaimStore>(settings_, budget_);
    }
    const bool holds_it = partition.generation && *partition.generation >= assignment.generation;
    const bool filling_it =
        partition.fill && partition.fill->assignment.generation >= assignment.generation;
    if (!holds_it && !filling_it) {
      begin_fill(id, partition, assignment);
    }
  }
  tick();
}

void ReplicaSet::begin_fill(PartitionId id, Partition& partition, const Assignment& assignment) {
  Fill fill{assignment, {}, {}, clock_.now() + settings_.window};
  for (const Replica& source : assignment.previous) {
    fill.cursors.emplace(source.boot, std::nullopt);
  }
  // A process that stays in the set stops voting in the old generation and is its own source.
  if (partition.generation && partition.generation->next() == assignment.generation) {
    partition.sealed = true;
    fill.complete.insert(self_);
  }
  partition.fill = std::move(fill);
  continue_fill(id, partition);
}

std::size_t ReplicaSet::sources_needed(const Assignment& assignment) const {
  return settings_.testing_faults.fill_from_one_replica ? 1
                                                        : majority_of(assignment.previous.size());
}

bool ReplicaSet::fill_complete(const Fill& fill) const {
  switch (fill.assignment.fill) {
    case FillMode::kEmpty:
      return true;
    case FillMode::kFromPrevious:
      return fill.complete.size() >= sources_needed(fill.assignment);
    case FillMode::kWaitOutWindow:
      return settings_.testing_faults.skip_waiting_out_window || clock_.now() >= fill.not_before;
  }
  return false;
}

void ReplicaSet::activate(Partition& partition) {
  partition.generation = partition.fill->assignment.generation;
  partition.sealed = false;
  partition.fill.reset();
}

void ReplicaSet::continue_fill(PartitionId id, Partition& partition) {
  if (fill_complete(*partition.fill)) {
    activate(partition);
    return;
  }
  if (partition.fill->assignment.fill == FillMode::kFromPrevious) {
    request_pages(id, *partition.fill);
  }
}

void ReplicaSet::request_pages(PartitionId id, const Fill& fill) {
  const Address old{id, Generation(fill.assignment.generation.value() - 1)};
  for (const Replica& source : fill.assignment.previous) {
    if (source.boot != self_ && !fill.complete.contains(source.boot)) {
      sender_.send(source.endpoint, SealRequest{old, source.boot, fill.cursors.at(source.boot)});
    }
  }
}

void ReplicaSet::tick() {
  bool filling = false;
  for (auto& [id, partition] : partitions_) {
    if (partition.fill) {
      continue_fill(id, partition);
    }
    partition.store->expire(clock_.now());
    filling = filling || partition.fill.has_value();
  }
  const Duration pause = filling ? settings_.retransmit : settings_.keeper_interval;
  tick_timer_.arm(pause, [this] { tick(); });
}

ClaimReply ReplicaSet::on_claim(const ClaimRequest& request) {
  if (!voting(request.address)) {
    return ClaimReply{request.address, request.claim, self_, Vote::kNotVoting, {}};
  }
  ClaimReply reply = partitions_.at(request.address.partition).store->claim(request, clock_.now());
  reply.voter = self_;
  return reply;
}

RecordReply ReplicaSet::on_record(const RecordRequest& request) {
  RecordReply reply{request.address, request.claim, self_, false};
  if (voting(request.address)) {
    reply.recorded = partitions_.at(request.address.partition).store->record(request, clock_.now());
  }
  return reply;
}

void ReplicaSet::on_release(const ReleaseRequest& request) {
  if (voting(request.address)) {
    partitions_.at(request.address.partition).store->release(request, clock_.now());
  }
}

SealReply ReplicaSet::on_seal(const SealRequest& request) {
  SealReply reply{request.address, self_, false, request.after, {}, false};
  const auto found = partitions_.find(request.address.partition);
  if (request.replica != self_ || found == partitions_.end()) {
    return reply;
  }
  Partition& partition = found->second;
  if (!partition.generation || *partition.generation < request.address.generation) {
    return reply;
  }
  // From here on this process never votes in that generation again, so no claim can still reach a
  // majority there that the reader has not seen. Holding a later generation, it votes there on.
  if (*partition.generation == request.address.generation) {
    partition.sealed = true;
  }
  reply.source = true;
  reply.claims = partition.store->page(request.after, settings_.seal_page_claims, clock_.now());
  reply.last = reply.claims.size() < settings_.seal_page_claims;
  return reply;
}

void ReplicaSet::on_seal_reply(const SealReply& reply) {
  const auto found = partitions_.find(reply.address.partition);
  if (!reply.source || found == partitions_.end() || !found->second.fill) {
    return;
  }
  Partition& partition = found->second;
  Fill& fill = *partition.fill;
  const auto cursor = fill.cursors.find(reply.replica);
  const bool expected = reply.address.generation.next() == fill.assignment.generation &&
                        cursor != fill.cursors.end() && cursor->second == reply.after &&
                        !fill.complete.contains(reply.replica);
  if (!expected) {
    return;
  }
  for (const StoredClaim& claim : reply.claims) {
    partition.store->merge(claim, clock_.now());
  }
  if (reply.last) {
    fill.complete.insert(reply.replica);
  } else {
    cursor->second = reply.claims.back().key;
  }
  continue_fill(reply.address.partition, partition);
}

bool ReplicaSet::voting(const Address& address) const {
  const auto found = partitions_.find(address.partition);
  return found != partitions_.end() && found->second.generation == address.generation &&
         !found->second.sealed;
}

std::vector<Address> ReplicaSet::voting_addresses() const {
  std::vector<Address> addresses;
  for (const auto& [id, partition] : partitions_) {
    if (partition.generation && !partition.sealed) {
      addresses.push_back(Address{id, *partition.generation});
    }
  }
  return addresses;
}

std::size_t ReplicaSet::claim_count() const {
  return budget_.claims;
}

}  // namespace ochrespring::ledger
