// The operators' gRPC server of one node. gRPC's own threads only hand calls over to the control
// loop; all of them are answered there.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "logging/logger.h"
#include "operator_api/fleet_admin.h"
#include "tls/identity_source.h"

namespace ochrespring::operator_api {

enum class ServerErrc : std::uint8_t {
  kAddressUnusable,  ///< Cannot be listened on: taken, or not an address of this machine.
  kTlsUnusable,      ///< The certificate cannot be used.
};

using ServerError = LayerError<ServerErrc>;

/// Runs a task on the control loop, in the order posted; thread-safe. Tasks posted after the loop
/// has ended may be kept or destroyed, but not run.
using Post = std::function<void(std::function<void()>)>;

struct ServerOptions {
  Endpoint listen;  ///< Port 0 takes a free one.
  /// Certificates to serve with; none means plain text. Must outlive the server.
  tls::IdentitySource* identity = nullptr;
  bool require_client_certificate = false;  ///< Mutual TLS; needs an authority in the identity.
  std::size_t concurrent_watches = 64;      ///< More are refused with RESOURCE_EXHAUSTED.
};

/// Counters since the start; read on the control loop.
struct ServerStatistics {
  std::uint64_t calls = 0;
  std::uint64_t failed_calls = 0;
  std::uint64_t mutations = 0;
  std::uint64_t watches = 0;  ///< Open now.
};

/// The server. begin_shutdown() must have been called before it is destroyed; calls still under way
/// then are ended with UNAVAILABLE. `post` must stay callable until the destructor has returned.
class Server {
 public:
  /// `admin`, `clock` and `logger` must outlive the server; `admin` is called on the control loop
  /// only.
  static Result<std::unique_ptr<Server>, ServerError> start(const ServerOptions& options,
                                                            FleetAdmin& admin, Post post,
                                                            const Clock& clock,
                                                            logging::Logger& logger);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Address listened on, with the port taken.
  const Endpoint& endpoint() const;
  /// Ends watches and refuses new calls with UNAVAILABLE; calls under way are answered as long as
  /// the loop runs. Called on the control loop, or on its thread after it has ended.
  void begin_shutdown();
  /// Counters; called on the control loop.
  const ServerStatistics& statistics() const;

 private:
  struct State;
  explicit Server(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::operator_api
