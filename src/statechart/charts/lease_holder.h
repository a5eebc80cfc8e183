// Lease of one shard as a node that may hold it sees it: statecharts/lease_holder.scxml.
#pragma once

#include <cstdint>

#include "statechart/vocabulary.h"

namespace ochrespring::statechart {

/// Names of the chart; the order is that of lease_holder_vocabulary().
struct LeaseHolder {
  enum class State : std::uint8_t {
    kIdle,
    kClaiming,
    kHolding,
  };
  enum class Event : std::uint8_t {
    kClaimDue,
    kMajorityGranted,
    kClaimFailed,
    kRenewalDue,
    kDeadlinePassed,
    kReleaseRequested,
  };
  enum class Guard : std::uint8_t {
    kEligible,
    kDeadlineAhead,
  };
  enum class Action : std::uint8_t {
    kSendClaim,
    kSendRenewal,
    kExtendDeadline,
    kAnnounceGained,
    kAnnounceLost,
    kSendRelease,
    kScheduleClaim,
  };
};

const Vocabulary& lease_holder_vocabulary();

}  // namespace ochrespring::statechart
