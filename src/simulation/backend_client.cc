#include "simulation/backend_client.h"

#include <utility>

#include "proxy/headers.h"
#include "simulation/planted_attempt.h"

namespace ochrespring::simulation {

std::unique_ptr<proxy::Attempt> SimulatedBackendClient::start(proxy::BackendRequest request,
                                                              proxy::AttemptObserver& observer) {
  const ExchangeContext context{world_.surroundings.network, runtime_, site_.node,
                                site_.peer.value()};
  request.headers.push_back({std::string(proxy::header::kRequestId), request.id.value()});
  if (world_.plant == Plant::kDispatchAfterGrant) {
    request.send_before = MonotonicTime::max();
  }
  const auto found = world_.backends.find(request.endpoint);
  BackendHost* const host = found == world_.backends.end() ? nullptr : found->second;
  if (breaks_attempts(world_.plant)) {
    return start_planted_attempt(world_.plant, context, host, std::move(request), observer);
  }
  return start_exchange(context, host, std::move(request), observer);
}

}  // namespace ochrespring::simulation
