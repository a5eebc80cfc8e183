// Settings of the configuration component.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace ochrespring::config {

/// Periods and bounds.
struct ConfigSettings {
  std::size_t readers_per_region = 2;                   ///< Nodes that read the key-value service.
  Duration poll_interval{std::chrono::seconds(8)};      ///< Of each reader.
  Duration start_delay{std::chrono::seconds(2)};        ///< Before a node counts itself a reader.
  Duration announce_interval{std::chrono::seconds(2)};  ///< Anti-entropy on the revision.
  Duration rumor_interval{std::chrono::milliseconds(200)};
  std::size_t rumor_fanout = 3;  ///< Nodes told of a new revision per round.
  Duration fetch_timeout{std::chrono::seconds(1)};

  std::size_t deltas_kept = 64;                 ///< In memory, for nodes that lag.
  std::size_t delta_answer_bytes = 32U << 10U;  ///< Larger answers are sent as a whole document.
  std::size_t head_deltas = 16;        ///< In the head, before a new checkpoint is written.
  std::size_t head_bytes = 8U << 10U;  ///< Bound of the head's deltas.
  std::size_t checkpoint_part_bytes = 64U << 10U;

  std::size_t transfer_part_bytes = 8U << 10U;             ///< Of a whole document between nodes.
  Duration transfer_pace{std::chrono::milliseconds(100)};  ///< Between parts asked for.
  std::size_t transfer_parts_per_second = 32;              ///< Served by one node to all others.

  std::size_t commit_attempts = 8;
  Duration commit_backoff{std::chrono::milliseconds(50)};
};

}  // namespace ochrespring::config
