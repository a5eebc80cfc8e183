// Interface through which the gateway reaches back ends; replaced in tests and in the simulation.
#pragma once

#include <memory>

#include "http/client.h"

namespace ochrespring::gateway {

class BackendTransport {
 public:
  virtual ~BackendTransport() = default;
  /// Starts an exchange. `observer` is not called from within this call and must outlive the
  /// result.
  virtual std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                                http::ResponseObserver& observer) = 0;
  /// Whether an exchange with the endpoint would need no new connection.
  virtual bool has_idle_connection(const Endpoint& endpoint) const = 0;
  /// Sends a request and ignores its result.
  virtual void send_and_forget(http::ClientRequest request) = 0;
};

}  // namespace ochrespring::gateway
