// The lease for duties of one node at a time: statecharts/duty_lease.scxml.
#pragma once

#include <cstdint>

#include "statechart/vocabulary.h"

namespace ochrespring::statechart {

/// Names of the chart; the order is that of duty_lease_vocabulary().
struct DutyLease {
  enum class State : std::uint8_t { kFollowing, kClaiming, kHolding, kDoubtful, kLeft };
  enum class Event : std::uint8_t {
    kClaimDue,
    kClaimed,
    kClaimFailed,
    kFoundOwn,
    kRenewalDue,
    kRenewed,
    kLeaseGone,
    kDeadlinePassed,
    kReleaseRequested,
    kStopRequested,
  };
  enum class Guard : std::uint8_t { kFirstChoice };
  enum class Action : std::uint8_t {
    kScheduleClaim,
    kSendClaim,
    kScheduleRenewal,
    kSendRenewal,
    kAnnounceGained,
    kAnnounceLost,
    kSendRelease,
  };
};

const Vocabulary& duty_lease_vocabulary();

}  // namespace ochrespring::statechart
