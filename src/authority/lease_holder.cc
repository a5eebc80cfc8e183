#include "authority/lease_holder.h"

#include <algorithm>
#include <utility>

namespace ochrespring::authority {

LeaseHolder::LeaseHolder(const statechart::Chart& chart, ShardKey key, VoterIdentity self,
                         const AuthoritySettings& settings)
    : machine_(chart), settings_(settings) {
  request_.key = std::move(key);
  request_.claimant = std::move(self);
  machine_.start(*this);
}

void LeaseHolder::configure(const Electorate& electorate, ShardLayout layout, bool eligible) {
  electorate_ = electorate;
  eligible_ = eligible;
  request_.layout = layout;
}

void LeaseHolder::note_epoch(Epoch epoch) {
  highest_ = std::max(highest_, epoch);
}

void LeaseHolder::claim_due(MonotonicTime now) {
  post(Event::kClaimDue, now);
}

void LeaseHolder::on_reply(const ClaimReply& reply, MonotonicTime now) {
  note_epoch(reply.highest);
  const VoterIdentity* voter = electorate_.find(reply.voter);
  const bool counts = voter != nullptr && voter->boot == reply.boot &&
                      reply.generation == request_.generation && reply.round == request_.round;
  if (!counts || round_counted_) {
    return;
  }
  if (!reply.granted) {
    count_refusal(reply);
    if (refused_by_.size() + electorate_.majority() > electorate_.voters.size()) {
      post(Event::kClaimFailed, now);
    }
    return;
  }
  granted_by_.insert(reply.voter);
  if (granted_by_.size() >= electorate_.majority()) {
    round_counted_ = true;
    post(Event::kMajorityGranted, now);
  }
}

void LeaseHolder::count_refusal(const ClaimReply& reply) {
  refused_by_.insert(reply.voter);
  if (reply.retry_after > Duration::zero()) {
    retry_after_ = retry_after_ == Duration::zero() ? reply.retry_after
                                                    : std::min(retry_after_, reply.retry_after);
  }
}

void LeaseHolder::on_tick(MonotonicTime now) {
  if (machine_.in(statechart::LeaseHolder::State::kHolding)) {
    post(Event::kDeadlinePassed, now);
    if (holds(now) && now >= next_renewal_) {
      post(Event::kRenewalDue, now);
    }
  } else if (machine_.in(statechart::LeaseHolder::State::kClaiming) &&
             now >= sent_ + settings_.claim_timeout) {
    post(Event::kClaimFailed, now);
  }
}

void LeaseHolder::release(MonotonicTime now) {
  post(Event::kReleaseRequested, now);
}

void LeaseHolder::raise_epoch(Epoch above, MonotonicTime now) {
  note_epoch(above);
  post(Event::kReleaseRequested, now);
  post(Event::kClaimDue, now);
}

bool LeaseHolder::holds(MonotonicTime now) const {
  return machine_.in(statechart::LeaseHolder::State::kHolding) && now < deadline_;
}

HeldLease LeaseHolder::lease() const {
  return HeldLease{request_.key, held_layout_, held_epoch_, deadline_, gained_};
}

std::vector<LeaseCommand> LeaseHolder::take_commands() {
  return std::exchange(commands_, {});
}

bool LeaseHolder::evaluate(statechart::LeaseHolder::Guard guard) const {
  switch (guard) {
    case statechart::LeaseHolder::Guard::kEligible:
      return eligible_ && !electorate_.voters.empty();
    case statechart::LeaseHolder::Guard::kDeadlineAhead:
      // Before the first grant counts, the deadline is the one this round would give.
      return now_ <
             (machine_.in(statechart::LeaseHolder::State::kHolding) ? deadline_ : next_deadline());
  }
  return false;
}

void LeaseHolder::run(statechart::LeaseHolder::Action action) {
  switch (action) {
    case statechart::LeaseHolder::Action::kSendClaim:
      request_.epoch =
          std::max(make_epoch(electorate_.generation, 1), std::max(highest_, held_epoch_).next());
      highest_ = request_.epoch;
      retry_after_ = Duration::zero();
      start_round(false);
      break;
    case statechart::LeaseHolder::Action::kSendRenewal:
      request_.epoch = held_epoch_;
      start_round(true);
      break;
    case statechart::LeaseHolder::Action::kExtendDeadline:
      deadline_ = next_deadline();
      break;
    case statechart::LeaseHolder::Action::kAnnounceGained:
      held_epoch_ = request_.epoch;
      held_layout_ = request_.layout;
      gained_ = now_;
      commands_.push_back(LeaseCommand::kGained);
      break;
    case statechart::LeaseHolder::Action::kAnnounceLost:
      commands_.push_back(LeaseCommand::kLost);
      break;
    case statechart::LeaseHolder::Action::kSendRelease:
      release_ =
          ReleaseNotice{request_.key, request_.generation, request_.claimant, request_.epoch};
      commands_.push_back(LeaseCommand::kSendRelease);
      break;
    case statechart::LeaseHolder::Action::kScheduleClaim:
      commands_.push_back(LeaseCommand::kScheduleClaim);
      break;
  }
}

void LeaseHolder::post(Event event, MonotonicTime now) {
  now_ = now;
  machine_.post(event, *this);
}

void LeaseHolder::start_round(bool renewal) {
  request_.generation = electorate_.generation;
  request_.renewal = renewal;
  ++request_.round;
  sent_ = now_;
  next_renewal_ = now_ + settings_.renewal;
  round_counted_ = false;
  granted_by_.clear();
  refused_by_.clear();
  commands_.push_back(LeaseCommand::kSendClaim);
}

/// Counted from when the round was sent: the voters count theirs from when they received it, which
/// is later, so the holder stops first whatever the delays were.
MonotonicTime LeaseHolder::next_deadline() const {
  const MonotonicTime start = settings_.faults.deadline_from_answer ? now_ : sent_;
  return start + settings_.holder_lease();
}

}  // namespace ochrespring::authority
