// Settings of the attempt ledger.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::ledger {

/// Deliberate defects for the proof that checkers catch them; all off in production.
struct LedgerTestingFaults {
  bool grant_on_first_vote = false;      ///< Does not wait for a majority.
  bool fill_from_one_replica = false;    ///< Becomes active after reading a single source.
  bool skip_waiting_out_window = false;  ///< A replica without its claims votes at once.
  bool ignore_held_claims = false;       ///< A replica grants a key another claim holds.
};

struct LedgerSettings {
  std::uint32_t partitions = 16;              ///< Fixed when the roster is first written.
  std::uint32_t replicas = 3;                 ///< Per partition.
  Duration window{std::chrono::minutes(10)};  ///< How long a claim is kept.
  Duration retransmit{std::chrono::milliseconds(60)};
  Duration claim_timeout{std::chrono::milliseconds(900)};  ///< Then kUnavailable.
  Duration record_timeout{std::chrono::seconds(5)};
  Duration keeper_interval{std::chrono::seconds(1)};
  Duration roster_read_interval{
      std::chrono::seconds(5)};                 ///< Of the key-value service, by the keeper.
  std::uint32_t largest_claim_count = 200'000;  ///< Claims kept by one node.
  std::uint64_t outcome_budget_bytes =
      32U << 20U;  ///< Bodies kept by one node; beyond it bodies are dropped.
  std::uint32_t largest_outcome_bytes = 16U << 10U;  ///< Larger bodies are not kept.
  std::uint32_t seal_page_claims = 256;              ///< Claims in one SealReply.
  LedgerTestingFaults testing_faults;
};

/// Clocks of two machines differ in rate by at most this fraction; granted claims end early by it.
inline constexpr double kLargestDrift = 0.01;

}  // namespace ochrespring::ledger
