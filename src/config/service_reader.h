// Follows the head in the key-value service on the few nodes that read it: watch and poll, alarm
// and write-back when the service holds less than it had accepted.
#pragma once

#include <cstdint>
#include <memory>

#include "base/random.h"
#include "base/timer.h"
#include "config/head_storage.h"
#include "config/settings.h"
#include "logging/logger.h"
#include "membership/member_view.h"

namespace ochrespring::config {

/// Counters since the start.
struct ReadStatistics {
  std::uint64_t polls = 0;
  std::uint64_t watch_events = 0;
  std::uint64_t failures = 0;
  std::uint64_t unsupported = 0;    ///< Heads of a newer program; what is in force stays.
  std::uint64_t service_older = 0;  ///< Alarms: the service lost what it had accepted.
  std::uint64_t write_backs = 0;
};

/// Used on the control loop only.
class ServiceReader final : public external::WatchObserver {
 public:
  ServiceReader(external::KeyValueStore& store, HeadStorage& heads, DocumentStore& documents,
                const membership::MemberView& members, const ConfigSettings& settings,
                const Clock& clock, TimerService& timers, RandomSource& random,
                logging::Logger& logger)
      : store_(store),
        heads_(heads),
        documents_(documents),
        members_(members),
        settings_(settings),
        clock_(clock),
        random_(random),
        logger_(logger),
        timer_(timers) {}

  void start();
  void on_change(const external::KeyValueEntry& entry) override;

  /// Whether this node is one of its region's readers.
  bool reading() const { return watch_ != nullptr; }
  /// Whether the service answered when last asked by this node.
  bool reachable() const { return reachable_; }
  const ReadStatistics& statistics() const { return statistics_; }

 private:
  void run();
  bool chosen() const;
  void poll();
  void on_head(const Result<VersionedHead, ConfigError>& result);
  void on_older(const VersionedHead& head);

  external::KeyValueStore& store_;
  HeadStorage& heads_;
  DocumentStore& documents_;
  const membership::MemberView& members_;
  const ConfigSettings& settings_;
  const Clock& clock_;
  RandomSource& random_;
  logging::Logger& logger_;
  Timer timer_;
  std::unique_ptr<external::Watch> watch_;
  MonotonicTime started_;
  MonotonicTime next_poll_;
  bool reachable_ = true;
  bool writing_back_ = false;
  external::KeyVersion older_version_;  ///< Of the older head seen at the last poll.
  ReadStatistics statistics_;
};

}  // namespace ochrespring::config
