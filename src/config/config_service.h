// Configuration of the fleet on one node: the document in force, operators' mutations, spreading.
#pragma once

#include <memory>

#include "config/committer.h"
#include "config/service_reader.h"
#include "config/spreader.h"

namespace ochrespring::config {

/// What the service is built from; everything outlives it.
struct ConfigDependencies {
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  peer::Transport& transport;
  external::KeyValueStore& store;
  const membership::MemberView& members;
  logging::Logger& logger;
};

/// Counters of all parts.
struct ConfigStatistics {
  CommitStatistics commit;
  SpreadStatistics spread;
  ReadStatistics read;
};

/// One per node, on the control loop; the node passes messages of Channel::kConfig in. Implements
/// the configuration half of operator_api::FleetAdmin.
class ConfigService final : public peer::Receiver, private operator_api::RevisionObserver {
 public:
  ConfigService(ConfigSettings settings, ConfigDependencies dependencies);
  ~ConfigService() override;
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  void start();

  /// Document in force; never null, revision zero before the first.
  std::shared_ptr<const fleet::FleetDocument> document() const;
  /// Commits an operator's mutation; see FleetAdmin::mutate().
  void mutate(const fleet::Mutation& mutation,
              operator_api::AdminCallback<operator_api::MutationOutcome> done);
  void add_observer(operator_api::RevisionObserver& observer);
  void remove_observer(operator_api::RevisionObserver& observer);

  /// Whether the key-value service answered when this node last asked.
  bool key_value_reachable() const { return reader_.reachable(); }
  /// Revision last heard from a peer.
  std::optional<Revision> heard_revision(const Endpoint& peer) const;

  void on_message(const Endpoint& from, std::string_view payload) override;

  ConfigStatistics statistics() const;

 private:
  void on_revision(const std::shared_ptr<const fleet::FleetDocument>& document) override;

  ConfigSettings settings_;
  DocumentStore documents_;
  CheckpointStorage checkpoints_;
  HeadStorage heads_;
  Committer committer_;
  Spreader spreader_;
  ServiceReader reader_;
};

}  // namespace ochrespring::config
