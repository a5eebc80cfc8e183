// Model of one engine with continuous batching: chunked prefill beside decode, KV memory, prefix
// cache, priorities, roles, KV export and import, resume, cancel, changes and crashes. Pure: time
// is passed in, events are taken out. Shared by the fleet emulator and the engine stand-in.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "engine/types.h"
#include "engine_model/cost_model.h"
#include "engine_model/gap_histogram.h"
#include "engine_model/prefix_cache.h"
#include "fleet/types.h"

namespace ochrespring::engine_model {

/// Identifies a sequence within one engine; chosen by the caller, unique while it is in the engine.
using SequenceId = std::uint64_t;

struct EngineParameters {
  CostModel cost;
  TransferModel transfer;
  std::uint64_t kv_tokens_capacity = 384'000;  ///< 48 GB at 128 KiB a token.
  std::uint64_t kv_bytes_per_token = 131'072;
  std::uint32_t prefill_chunk_tokens = 512;  ///< Prompt tokens a step, roles mixed and decode.
  std::uint32_t prefill_role_chunk_tokens = 4096;  ///< Prompt tokens a step, role prefill.
  std::uint32_t maximum_sequences = 256;           ///< Running at once.
  std::uint32_t decode_role_prompt_tokens =
      1024;  ///< Longest uncached prompt a decode engine takes.
  Duration role_change{std::chrono::seconds(5)};    ///< Out of service on a change of role.
  Duration model_change{std::chrono::seconds(20)};  ///< Out of service on a change of model.
  Duration restart{std::chrono::seconds(30)};       ///< Out of service after a crash.
  bool report_tokens = false;  ///< Emit kToken for each token, for real streams.
};

/// Which part of a request a sequence is.
enum class SequenceKind : std::uint8_t {
  kWhole,    ///< Prefill and decode here.
  kPrefill,  ///< Prefill, then hold the KV cache for export.
  kImport,   ///< KV cache comes from another engine; decode only.
};

/// One request, or part of one, given to an engine.
struct SequenceSpec {
  SequenceId id = 0;
  SequenceKind kind = SequenceKind::kWhole;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;    ///< Tokens of the whole answer, at least 1.
  std::uint32_t resume_offset = 0;    ///< Tokens of the answer the caller already has.
  std::uint8_t priority = 1;          ///< Higher first.
  std::vector<std::uint64_t> blocks;  ///< Chained hashes of the prompt's full blocks.
  MonotonicTime import_ready{};       ///< kImport: when the KV cache has arrived.
};

enum class SubmitResult : std::uint8_t {
  kAccepted,
  kOutOfService,  ///< Changing or starting.
  kWrongRole,
  kTooLong,  ///< Could never fit the KV memory.
  kDuplicate,
};

enum class SequenceEventKind : std::uint8_t {
  kFirstToken,
  kToken,      ///< Only with EngineParameters::report_tokens; follows kFirstToken.
  kPrefilled,  ///< kPrefill: the KV cache is ready to export.
  kFinished,   ///< The whole answer has been produced.
  kDropped,    ///< The engine crashed or changed with the sequence inside.
};

/// Something that happened to a sequence. `at` is when it happened, at or before the time passed to
/// advance().
struct SequenceEvent {
  SequenceEventKind kind = SequenceEventKind::kFirstToken;
  SequenceId sequence = 0;
  MonotonicTime at;
  std::uint32_t tokens_done = 0;  ///< Tokens of the answer produced so far, resume offset included.
};

/// How far a sequence has come.
struct SequenceProgress {
  std::uint32_t tokens_done = 0;     ///< Of the answer, resume offset included.
  std::uint32_t cached_tokens = 0;   ///< Of the prompt, found in the prefix cache on admission.
  std::uint64_t context_tokens = 0;  ///< KV cache to move if it is exported now.
  bool running = false;              ///< Admitted to the batch.
};

/// Cumulative counters.
struct Statistics {
  std::uint64_t steps = 0;
  std::uint64_t prefill_tokens = 0;
  std::uint64_t cached_prompt_tokens = 0;
  std::uint64_t decode_tokens = 0;
  std::uint64_t finished = 0;
  std::uint64_t dropped = 0;
  Duration busy{};  ///< Time spent in steps.
};

/// One engine. Single-threaded; calls must pass times that never go back.
class EngineModel {
 public:
  EngineModel(EngineId id, fleet::EngineRole role, const EngineParameters& parameters);

  /// Gives the engine a sequence. On any result but kAccepted it will not run.
  SubmitResult submit(const SequenceSpec& spec, MonotonicTime now);
  /// Forgets a sequence; false if it is not here. Its prefix stays cached.
  bool cancel(SequenceId sequence, MonotonicTime now);
  /// Carries out all steps that end at or before `now`.
  void advance(MonotonicTime now);
  /// When the next event may occur without further calls; empty when idle. Calling advance() at
  /// this time is always right; an event may turn out to be later.
  std::optional<MonotonicTime> next_event_time() const;
  /// Events since the last call, in order.
  std::vector<SequenceEvent> take_events();

  /// Sends the KV cache of a prefilled sequence away; returns when it has arrived. The sender's
  /// link carries one transfer at a time. The sequence is gone from here at that moment.
  MonotonicTime export_cache(SequenceId sequence, Distance distance, MonotonicTime now);
  /// How far a sequence has come; empty if it is not here.
  std::optional<SequenceProgress> progress(SequenceId sequence) const;
  /// Gaps between tokens of a decoding sequence so far; empty histogram if it is not decoding.
  GapHistogram gaps(SequenceId sequence) const;
  /// Gaps of a sequence whose kFinished event was among those the last take_events() returned.
  GapHistogram finished_gaps(SequenceId sequence) const;

  /// Takes the engine out of service for EngineParameters::role_change, then serves in `role`.
  void change_role(fleet::EngineRole role, MonotonicTime now);
  /// Takes the engine out of service for `span` (weights loaded) with an empty prefix cache.
  void change_model(Duration span, MonotonicTime now);
  /// Loses everything; serves again after `restart` under a new incarnation.
  void crash(Duration restart, MonotonicTime now);
  /// Prompt tokens a step beside decode; takes effect at the next step.
  void set_prefill_chunk(std::uint32_t tokens) { parameters_.prefill_chunk_tokens = tokens; }

  /// Load as it is now; the caller adds the lag.
  engine::LoadReport load_report(MonotonicTime now);
  /// Cache events with sequence above `after`.
  std::vector<engine::CacheEvent> cache_events(std::uint64_t after) const {
    return cache_.events_after(after);
  }
  /// Tokens of this prompt that the prefix cache holds now.
  std::uint32_t cached_prompt_tokens(const std::vector<std::uint64_t>& blocks) const;

  const EngineId& id() const { return id_; }
  fleet::EngineRole role() const { return role_; }
  engine::EnginePhase phase() const { return phase_; }
  Incarnation incarnation() const { return incarnation_; }
  const EngineParameters& parameters() const { return parameters_; }
  std::uint32_t in_flight() const { return static_cast<std::uint32_t>(sequences_.size()); }
  const Statistics& statistics() const { return statistics_; }

 private:
  enum class Stage : std::uint8_t { kImporting, kWaiting, kPrefilling, kDecoding, kExporting };

  struct Sequence {
    SequenceSpec spec;
    std::uint64_t arrival = 0;
    Stage stage = Stage::kWaiting;
    std::uint32_t prefill_target = 0;  ///< Tokens whose KV is needed before decode.
    std::uint32_t prefill_done = 0;    ///< Of those, cached or computed.
    std::uint32_t cached_tokens = 0;
    std::uint32_t pinned_blocks = 0;  ///< Leading spec.blocks pinned in the cache.
    std::uint64_t private_blocks = 0;
    std::uint64_t decode_start = 0;     ///< decode_steps_ when the first token came out.
    std::uint32_t tokens_at_start = 0;  ///< tokens done at decode_start.
    std::uint64_t finish_step = 0;      ///< decode_steps_ at which the last token comes out.
    GapHistogram gaps_at_start;
  };

  /// Order in which sequences are admitted and prefilled.
  struct QueuePosition {
    std::uint8_t priority = 0;
    std::uint64_t arrival = 0;
    SequenceId id = 0;
    bool operator<(const QueuePosition& other) const;
  };

  struct PrefillShare {
    SequenceId id = 0;
    std::uint32_t tokens = 0;
  };

  struct Step {
    MonotonicTime start;
    MonotonicTime end;
    std::vector<PrefillShare> prefill;
    bool decodes = false;
  };

  static QueuePosition position_of(const Sequence& sequence);
  bool role_accepts(const SequenceSpec& spec) const;
  std::uint64_t blocks_for(const Sequence& sequence) const;
  void start_step(MonotonicTime at);
  void finish_step();
  void accept_imports(MonotonicTime at);
  void admit_waiting();
  bool admit(Sequence& sequence);
  void plan_prefill(StepLoad& load);
  void complete_prefill(Sequence& sequence, MonotonicTime at);
  void start_decoding(Sequence& sequence, std::uint32_t tokens_done);
  void emit_decoded_tokens(MonotonicTime at);
  void finish_due_sequences(MonotonicTime at);
  void release_exports(MonotonicTime at);
  void remove(SequenceId id, Sequence& sequence);
  void drop_everything(MonotonicTime at);
  void take_out_of_service(engine::EnginePhase phase, MonotonicTime until, MonotonicTime now);
  void return_to_service(MonotonicTime now);
  std::uint32_t tokens_done(const Sequence& sequence) const;
  std::uint32_t chunk_budget() const;
  void emit(SequenceEventKind kind, const Sequence& sequence, MonotonicTime at,
            std::uint32_t tokens);
  MonotonicTime next_finish_time() const;
  void sample_rates(MonotonicTime now);

  EngineId id_;
  fleet::EngineRole role_;
  EngineParameters parameters_;
  PrefixCache cache_;
  engine::EnginePhase phase_ = engine::EnginePhase::kServing;
  MonotonicTime out_of_service_until_{};
  Incarnation incarnation_{1};
  std::unordered_map<SequenceId, Sequence> sequences_;
  std::set<QueuePosition> waiting_;
  std::set<QueuePosition> prefilling_;
  std::set<std::pair<MonotonicTime, SequenceId>> importing_;
  std::set<std::pair<std::uint64_t, SequenceId>> decoding_;   ///< By finish_step.
  std::set<std::pair<MonotonicTime, SequenceId>> exporting_;  ///< By arrival of the KV cache.
  std::optional<Step> step_;
  std::uint64_t decode_steps_ = 0;
  std::uint64_t context_tokens_ = 0;  ///< Sum over decoding sequences.
  std::uint64_t next_arrival_ = 0;
  MonotonicTime link_free_{};
  GapHistogram step_gaps_;                        ///< Durations of all steps that decoded.
  std::vector<SequenceId> awaiting_first_token_;  ///< Imported, in their first decode step.
  std::unordered_map<SequenceId, GapHistogram> finished_gaps_;  ///< Of events not yet taken.
  std::unordered_map<SequenceId, GapHistogram> taken_gaps_;     ///< Of events taken last.
  std::vector<SequenceEvent> events_;
  Statistics statistics_;
  std::uint64_t report_sequence_ = 0;
  MonotonicTime rates_taken_{};
  Statistics rates_base_;
  float prefill_rate_ = 0;
  float decode_rate_ = 0;
};

}  // namespace ochrespring::engine_model
