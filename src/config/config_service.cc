#include "config/config_service.h"

namespace ochrespring::config {

ConfigService::ConfigService(ConfigSettings settings, ConfigDependencies dependencies)
    : settings_(settings),
      documents_(settings_.deltas_kept),
      checkpoints_(dependencies.store, settings_, dependencies.random.next()),
      heads_(dependencies.store, checkpoints_, documents_),
      committer_(heads_, checkpoints_, documents_, settings_, dependencies.timers,
                 dependencies.random, [this] { return spreader_.current(); }),
      spreader_(dependencies.members, documents_, settings_, dependencies.clock,
                dependencies.timers, dependencies.random, dependencies.transport),
      reader_(dependencies.store, heads_, documents_, dependencies.members, settings_,
              dependencies.clock, dependencies.timers, dependencies.random, dependencies.logger) {
  documents_.add_observer(*this);
}

ConfigService::~ConfigService() {
  documents_.remove_observer(*this);
}

void ConfigService::start() {
  spreader_.start();
  reader_.start();
}

std::shared_ptr<const fleet::FleetDocument> ConfigService::document() const {
  return documents_.document();
}

void ConfigService::mutate(const fleet::Mutation& mutation,
                           operator_api::AdminCallback<operator_api::MutationOutcome> done) {
  committer_.mutate(mutation, std::move(done));
}

void ConfigService::add_observer(operator_api::RevisionObserver& observer) {
  documents_.add_observer(observer);
}

void ConfigService::remove_observer(operator_api::RevisionObserver& observer) {
  documents_.remove_observer(observer);
}

std::optional<Revision> ConfigService::heard_revision(const Endpoint& peer) const {
  return spreader_.heard_revision(peer);
}

void ConfigService::on_message(const Endpoint& from, std::string_view payload) {
  spreader_.on_message(from, payload);
}

ConfigStatistics ConfigService::statistics() const {
  return {committer_.statistics(), spreader_.statistics(), reader_.statistics()};
}

void ConfigService::on_revision(const std::shared_ptr<const fleet::FleetDocument>& /*document*/) {
  spreader_.on_new_revision();
}

}  // namespace ochrespring::config
