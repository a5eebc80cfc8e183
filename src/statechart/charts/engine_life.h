// One engine as its controller sees it: statecharts/engine_life.scxml.
#pragma once

#include <cstdint>

#include "statechart/vocabulary.h"

namespace ochrespring::statechart {

/// Names of the chart; the order is that of engine_life_vocabulary().
struct EngineLife {
  enum class State : std::uint8_t {
    kUnknown,
    kFencing,
    kServing,
    kDraining,
    kOrdering,
    kVerifying,
    kChanging,
  };
  enum class Event : std::uint8_t {
    kStatusReceived,
    kFenceRaised,
    kChangeRequested,
    kChangeAbandoned,
    kDrained,
    kOrderAccepted,
    kOrderRefused,
    kOrderStale,
    kAnswerLost,
    kChangeCompleted,
    kChangeFailed,
    kEngineRestarted,
    kEngineUnreachable,
  };
  enum class Guard : std::uint8_t {
    kOrderRunning,
    kOrderInEffect,
    kNeedsDrain,
  };
  enum class Action : std::uint8_t {
    kReadStatus,
    kRaiseFence,
    kBeginDrain,
    kEndDrain,
    kSendOrder,
    kConfirmFence,
    kWithdrawFence,
    kNoteCompleted,
    kNoteFailed,
    kNoteSuperseded,
  };
};

const Vocabulary& engine_life_vocabulary();

}  // namespace ochrespring::statechart
