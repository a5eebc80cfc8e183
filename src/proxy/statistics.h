// Counters of one proxy loop.
#pragma once

#include <cstdint>

namespace ochrespring::proxy {

struct Statistics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cancelled = 0;  ///< The caller went away.
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;  ///< For want of budget.
  std::uint64_t resumed_streams = 0;
  std::uint64_t moved_streams = 0;  ///< Off an engine that is to change.
  std::uint64_t crossed_answers = 0;
  std::uint64_t truncated_answers = 0;
  std::uint64_t lapsed_grants = 0;  ///< Dispatches given up because the routing grant was over.
  std::uint64_t claims = 0;
  std::uint64_t repeats = 0;  ///< Answered from the ledger.
  std::uint64_t queued = 0;
  std::uint64_t shed = 0;
  std::uint64_t tokens = 0;  ///< Delivered to callers.
};

}  // namespace ochrespring::proxy
