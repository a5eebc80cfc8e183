// One HTTP exchange between a proxy and a back end over the simulated network, from the connection
// to the proven end of the answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "proxy/backend.h"
#include "simulation/network.h"
#include "simulation/process_runtime.h"

namespace ochrespring::simulation {

/// What a back end is asked to run.
struct ServedRequest {
  proxy::BackendRequest request;
  NodeId from;
  MonotonicTime sent;  ///< True time at which the request left the proxy.
};

/// The back end's side of one exchange. Held by shared_ptr; sending after the end does nothing.
class ServerStream {
 public:
  virtual ~ServerStream() = default;
  virtual void send_head(const proxy::BackendResponseHead& head) = 0;
  virtual void send_body(std::string bytes) = 0;
  /// The whole answer has been sent.
  virtual void finish() = 0;
  /// Closes the connection without a proper end.
  virtual void reset() = 0;
  /// Whether the proxy still wants the answer, as far as the back end can know.
  virtual bool wanted() const = 0;
};

/// A listening back end.
class BackendHost {
 public:
  virtual ~BackendHost() = default;
  /// Whether its port is open.
  virtual bool listening() const = 0;
  /// Of its process: a connection does not outlive it.
  virtual Incarnation incarnation() const = 0;
  /// A whole request arrived. Never called unless listening.
  virtual void serve(const ServedRequest& request, std::shared_ptr<ServerStream> stream) = 0;
};

/// Where the exchange runs.
struct ExchangeContext {
  Network& network;
  std::weak_ptr<ProcessRuntime> process;  ///< Of the proxy.
  NodeId node;
  HostName self;
};

/// Starts an exchange; the returned attempt cancels it on destruction. The observer is called on
/// the proxy's loop, never inside this call.
/// `host` is null where nothing ever listens.
std::unique_ptr<proxy::Attempt> start_exchange(const ExchangeContext& context, BackendHost* host,
                                               proxy::BackendRequest request,
                                               proxy::AttemptObserver& observer);

}  // namespace ochrespring::simulation
