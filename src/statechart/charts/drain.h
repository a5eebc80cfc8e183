// Drain of one engine before a planned change: statecharts/drain.scxml.
#pragma once

#include <cstdint>

#include "statechart/vocabulary.h"

namespace ochrespring::statechart {

/// Names of the chart; the order is that of drain_vocabulary().
struct Drain {
  enum class State : std::uint8_t {
    kOpen,
    kStopping,
    kEmptying,
    kMoving,
    kDrained,
  };
  enum class Event : std::uint8_t {
    kDrainRequested,
    kChecked,
    kUndrainRequested,
  };
  enum class Guard : std::uint8_t {
    kAcknowledged,
    kEmpty,
    kLimitPassed,
  };
  enum class Action : std::uint8_t {
    kExcludeEngine,
    kIncludeEngine,
    kNoteAcknowledged,
    kRequestMoves,
    kAnnounceDrained,
  };
};

const Vocabulary& drain_vocabulary();

}  // namespace ochrespring::statechart
