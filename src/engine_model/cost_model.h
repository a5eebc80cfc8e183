// What an engine's work costs: the time of one step of a continuous batch, and of a KV transfer.
// docs/EMULATOR.md states where the figures come from.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace ochrespring::engine_model {

/// Contents of one step of the batch.
struct StepLoad {
  std::uint32_t prefill_tokens = 0;    ///< Prompt tokens computed in this step.
  double prefill_token_contexts = 0;   ///< Sum over those tokens of the context each attends to.
  std::uint32_t decode_sequences = 0;  ///< Sequences that produce one token each.
  std::uint64_t context_tokens = 0;    ///< Sum of the contexts of those sequences.
};

/// Linear cost of a step. All figures in seconds; defaults are an 8-billion-parameter model in 16
/// bits on one accelerator with 2 TB/s of usable memory bandwidth and 250 usable TFLOP/s.
struct CostModel {
  double step_base = 0.012;               ///< Reading the weights once, launch and sampling.
  double prefill_token = 65e-6;           ///< Matrix products of one prompt token.
  double prefill_token_context = 2.1e-9;  ///< Attention of one prompt token to one earlier token.
  double decode_sequence = 100e-6;        ///< Matrix products and sampling of one output token.
  double context_token = 65e-9;           ///< Reading one token's KV cache.

  /// Time of a step with this load, in seconds; zero for an empty step.
  double step_seconds(const StepLoad& load) const;
};

/// How far two engines are apart.
enum class Distance : std::uint8_t { kSameServer, kSameZone, kOtherZone, kOtherRegion };

/// Cost of moving a KV cache between engines.
struct TransferModel {
  double same_server_bytes_per_second = 50e9;
  double same_zone_bytes_per_second = 12.5e9;
  double other_zone_bytes_per_second = 5e9;
  double other_region_bytes_per_second = 0.5e9;
  double setup_seconds = 0.003;  ///< Handshake and registration per transfer.

  /// Time one transfer of `bytes` keeps the sender's link busy, in seconds.
  double transfer_seconds(std::uint64_t bytes, Distance distance) const;
};

}  // namespace ochrespring::engine_model
