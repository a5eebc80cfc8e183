// One caller's request through its attempts: statecharts/request_attempt.scxml.
#pragma once

#include <cstdint>

#include "statechart/vocabulary.h"

namespace ochrespring::statechart {

/// Names of the chart; the order is that of request_attempt_vocabulary().
struct RequestAttempt {
  enum class State : std::uint8_t {
    kRouting,
    kClaiming,
    kWaiting,
    kStreaming,
    kBackingOff,
    kAnswered,
    kNotRun,
    kUnknown,
    kCancelled,
  };
  enum class Event : std::uint8_t {
    kEngineChosen,
    kRefused,
    kClaimGranted,
    kClaimRepeated,
    kClaimUnavailable,
    kHeadReceived,
    kCompleted,
    kFailedNotRun,
    kFailedUnknown,
    kRetryDue,
    kCallerGone,
    kDeadlinePassed,
  };
  enum class Guard : std::uint8_t {
    kNeedsClaim,
    kRetryAllowed,
    kRepeatable,
    kResumable,
    kMaybeRan,
  };
  enum class Action : std::uint8_t {
    kRequestClaim,
    kStartAttempt,
    kCancelAttempt,
    kForwardHead,
    kScheduleRetry,
    kRecordAnswer,
    kRecordUnknown,
    kReleaseClaim,
    kReplayRecorded,
    kFinishAnswer,
    kSendRefusal,
    kSendUnknown,
    kAbortAnswer,
  };
};

const Vocabulary& request_attempt_vocabulary();

}  // namespace ochrespring::statechart
