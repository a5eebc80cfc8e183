#include "node/identities.h"

#include <string>
#include <utility>

namespace ochrespring::node {

namespace {

using ReloaderPointer = std::unique_ptr<tls::IdentityReloader>;

Result<ReloaderPointer, NodeError> load(const std::string& prefix,
                                        const std::optional<settings::TlsSettings>& files,
                                        TimerService& timers, const Clock& clock,
                                        logging::Logger& logger) {
  if (!files) {
    return ReloaderPointer();
  }
  tls::ReloaderOptions options;
  options.files = {files->certificate, files->key, files->authority};
  auto reloader = tls::IdentityReloader::start(std::move(options), timers, clock, logger);
  if (!reloader) {
    return fail(NodeErrc::kCertificate, prefix + "-tls: " + reloader.error().message);
  }
  return std::move(reloader).value();
}

}  // namespace

Result<Identities, NodeError> load_identities(const settings::NodeSettings& settings,
                                              TimerService& timers, const Clock& clock,
                                              logging::Logger& logger) {
  Identities identities;
  BOOST_OUTCOME_TRY(operators, load("operator", settings.operator_tls, timers, clock, logger));
  BOOST_OUTCOME_TRY(peers, load("peer", settings.peer_tls, timers, clock, logger));
  identities.operators = std::move(operators);
  identities.peers = std::move(peers);
  return identities;
}

}  // namespace ochrespring::node
