// What the control plane and the engines tell each other: orders, fences, status, load.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/types.h"

namespace ochrespring::engine {

/// Position of an order in an engine's history. An engine refuses an order at or below the highest
/// fence it has seen, so that orders from a lost authority have no effect.
struct OrderFence {
  Epoch epoch;
  std::uint64_t sequence = 0;

  auto operator<=>(const OrderFence&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& epoch& sequence;
  }
};

enum class OrderAction : std::uint8_t {
  kChangeRole,     ///< To `role`.
  kLoadModel,      ///< `model` at `version`, replacing what is loaded.
  kLoadAdapter,    ///< `adapter`.
  kUnloadAdapter,  ///< `adapter`.
  kRaiseFence,     ///< No effect but the fence: sent first by a new authority.
  kSetChunk,       ///< `prefill_chunk_tokens`; takes effect without leaving service.
};

/// One fenced order.
struct EngineOrder {
  EngineId engine;
  OrderFence fence;
  OrderAction action = OrderAction::kRaiseFence;
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  ModelName model;
  VersionName version;
  AdapterName adapter;
  std::uint32_t prefill_chunk_tokens = 0;

  bool operator==(const EngineOrder&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine& fence& action& role& model& version& adapter& prefill_chunk_tokens;
  }
};

enum class EnginePhase : std::uint8_t {
  kServing,
  kChanging,  ///< Carrying out an order; refuses requests as not run.
  kStarting,
};

/// An engine's own account of itself; current at the time it answers.
struct EngineStatus {
  EngineId engine;
  Incarnation incarnation;  ///< Changes when the engine process restarts.
  EnginePhase phase = EnginePhase::kServing;
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  ModelName model;
  VersionName version;
  std::vector<AdapterName> adapters;
  OrderFence highest_fence;                  ///< Zero after a restart that forgot it.
  std::optional<EngineOrder> current_order;  ///< Being carried out.
  std::optional<OrderFence> last_completed;
  std::uint32_t in_flight = 0;  ///< Requests accepted and not finished.
  std::uint32_t prefill_chunk_tokens = 0;

  bool operator==(const EngineStatus&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine& incarnation& phase& role& model& version& adapters& highest_fence&
        current_order& last_completed& in_flight& prefill_chunk_tokens;
  }
};

/// An engine's periodic load report; describes the past by `age`.
struct LoadReport {
  EngineId engine;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< Grows by one per report of one incarnation.
  Duration age{};              ///< How old the figures were when the report was read.
  std::uint32_t queued_requests = 0;
  std::uint32_t queued_prefill_tokens = 0;
  std::uint32_t running_sequences = 0;
  std::uint64_t context_tokens = 0;  ///< Sum over running sequences.
  std::uint64_t kv_tokens_used = 0;
  std::uint64_t kv_tokens_capacity = 0;
  float prefill_tokens_per_second = 0;
  float decode_tokens_per_second = 0;
  std::uint32_t prefill_chunk_tokens = 0;  ///< Prompt tokens a step beside decode; 0: not told.

  bool operator==(const LoadReport&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine& incarnation& sequence& age& queued_requests& queued_prefill_tokens&
        running_sequences& context_tokens& kv_tokens_used& kv_tokens_capacity&
            prefill_tokens_per_second& decode_tokens_per_second& prefill_chunk_tokens;
  }
};

enum class CacheChange : std::uint8_t { kStored, kEvicted, kCleared };

/// One change of an engine's prefix cache. Late, and some are missing: `sequence` shows gaps.
struct CacheEvent {
  std::uint64_t sequence = 0;
  CacheChange change = CacheChange::kStored;
  std::vector<std::uint64_t> blocks;  ///< Chained hashes of prompt blocks.

  bool operator==(const CacheEvent&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& change& blocks;
  }
};

/// Tokens per prompt block in prefix hashes.
inline constexpr std::uint32_t kTokensPerBlock = 64;

}  // namespace ochrespring::engine
