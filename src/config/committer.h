// Accepts operators' mutations: applies each to the newest accepted document and commits the result
// by compare-and-swap, one after another.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "base/random.h"
#include "base/timer.h"
#include "config/head_storage.h"
#include "config/settings.h"
#include "operator_api/fleet_admin.h"

namespace ochrespring::config {

/// Counters since the start.
struct CommitStatistics {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t repeated = 0;
  std::uint64_t conflicts = 0;     ///< Another node's change came first; tried again.
  std::uint64_t lost_answers = 0;  ///< Resolved by reading.
  std::uint64_t failures = 0;      ///< Given up; the operator was told.
  std::uint64_t checkpoints = 0;   ///< Written with a commit.
};

/// Used on the control loop only.
class Committer {
 public:
  /// `current` says whether this node may take its document for the newest. A node that starts, or
  /// hears nobody, must not commit: if the service has lost what it had accepted, only a node with
  /// the newest document can tell.
  Committer(HeadStorage& heads, CheckpointStorage& checkpoints, DocumentStore& documents,
            const ConfigSettings& settings, TimerService& timers, RandomSource& random,
            std::function<bool()> current)
      : current_(std::move(current)),
        heads_(heads),
        checkpoints_(checkpoints),
        documents_(documents),
        settings_(settings),
        random_(random),
        retry_(timers) {}

  /// Commits a mutation; see FleetAdmin::mutate().
  void mutate(const fleet::Mutation& mutation,
              operator_api::AdminCallback<operator_api::MutationOutcome> done);

  const CommitStatistics& statistics() const { return statistics_; }

 private:
  struct Pending {
    fleet::Mutation mutation;
    operator_api::AdminCallback<operator_api::MutationOutcome> done;
    std::size_t attempts = 0;
    bool effect_unknown = false;  ///< An earlier try may yet take effect.
    bool saw_older = false;       ///< The service answered with less than is in force here.
  };

  void start();
  void on_head(const Result<VersionedHead, ConfigError>& result);
  void commit_on(const VersionedHead& head);
  void commit_with_checkpoint(const VersionedHead& head, const HashedDocument& document,
                              std::optional<DocumentDelta> delta);
  void swap(const VersionedHead& before, const StoredHead& after, HashedDocument document,
            std::optional<DocumentDelta> delta);
  void retry_or_fail(const ConfigError& error);
  void finish(Result<operator_api::MutationOutcome, operator_api::AdminError> result);

  std::function<bool()> current_;
  HeadStorage& heads_;
  CheckpointStorage& checkpoints_;
  DocumentStore& documents_;
  const ConfigSettings& settings_;
  RandomSource& random_;
  Timer retry_;
  std::deque<Pending> pending_;  ///< The first is being committed.
  bool busy_ = false;
  CommitStatistics statistics_;
};

}  // namespace ochrespring::config
