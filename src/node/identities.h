// TLS identities of a node: one per kind of traffic, read again on request and now and then.
#pragma once

#include <memory>

#include "base/time.h"
#include "base/timer.h"
#include "logging/logger.h"
#include "node/errc.h"
#include "settings/node_settings.h"
#include "tls/identity_reloader.h"

namespace ochrespring::node {

/// Null where the settings turn TLS off.
struct Identities {
  std::unique_ptr<tls::IdentityReloader> operators;
  std::unique_ptr<tls::IdentityReloader> peers;
};

/// Reads and checks all identities; the error names the setting.
Result<Identities, NodeError> load_identities(const settings::NodeSettings& settings,
                                              TimerService& timers, const Clock& clock,
                                              logging::Logger& logger);

}  // namespace ochrespring::node
