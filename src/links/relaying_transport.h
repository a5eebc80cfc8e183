// Reaches back ends directly, or through another node while this node's own link to one is cut.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "gateway/backend_transport.h"
#include "http/client.h"
#include "links/link_monitor.h"
#include "links/relay_chooser.h"
#include "links/silence_watch.h"

namespace ochrespring::links {

/// The part of http::Client that the transport uses; replaced in tests.
class HttpConnections {
 public:
  virtual ~HttpConnections() = default;
  virtual std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                                http::ResponseObserver& observer) = 0;
  virtual bool has_idle(const Endpoint& backend, bool relayed) const = 0;
  virtual void fetch(http::ClientRequest request,
                     std::function<void(Result<http::Response, http::FetchFailure>)> done) = 0;
  virtual void probe(const Endpoint& backend, std::function<void(http::ProbeResult)> done) = 0;
};

/// Uses the HTTP client of the event loop.
class ClientConnections final : public HttpConnections {
 public:
  explicit ClientConnections(http::Client& client) : client_(client) {}
  std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                        http::ResponseObserver& observer) override {
    return client_.start(std::move(request), observer);
  }
  bool has_idle(const Endpoint& backend, bool relayed) const override {
    return client_.has_idle_connection(backend, relayed);
  }
  void fetch(http::ClientRequest request,
             std::function<void(Result<http::Response, http::FetchFailure>)> done) override {
    client_.fetch(std::move(request), std::move(done));
  }
  void probe(const Endpoint& backend, std::function<void(http::ProbeResult)> done) override {
    client_.probe(backend, kProbeTimeout, std::move(done));
  }

 private:
  /// Back ends are in the same network, so one that takes longer to accept counts as not answering.
  static constexpr Duration kProbeTimeout{std::chrono::milliseconds(400)};

  http::Client& client_;
};

/// Counters since the construction of the transport.
struct RelayingStatistics {
  std::uint64_t relayed = 0;       ///< Exchanges that were sent through another node.
  std::uint64_t without_path = 0;  ///< Exchanges that ended because no node could relay them.
};

/// A relayed connection passes bytes on unchanged, so all that this node decides about a request
/// holds whatever way it takes: attempts, deadlines, budgets, limits, and what an end of the
/// connection says about the request. Another way is tried only while no byte of the request has
/// been sent. The referenced objects must outlive the transport. Used on one event loop.
class RelayingTransport final : public gateway::BackendTransport {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    HttpConnections& connections;
    LinkMonitor& links;
    RelayChooser& relays;
  };

  explicit RelayingTransport(Dependencies deps);

  std::unique_ptr<http::Exchange> start(http::ClientRequest request,
                                        http::ResponseObserver& observer) override;
  bool has_idle_connection(const Endpoint& endpoint) const override {
    return deps_.connections.has_idle(endpoint, deps_.links.is_cut(endpoint));
  }
  void send_and_forget(http::ClientRequest request) override;
  /// Fetches a complete response, through another node while this node's link is cut. kRefused is
  /// reported only of a link that is not known to be cut.
  void fetch(http::ClientRequest request,
             std::function<void(Result<http::Response, http::FetchFailure>)> done);
  /// Tells whether the back end accepts connections, from this node or, while its link is cut, from
  /// another one. kNoAnswer if no node could tell.
  void probe(const Endpoint& backend, std::function<void(http::ProbeResult)> done);
  const RelayingStatistics& statistics() const { return statistics_; }

 private:
  class RoutedExchange;

  void probe_relayed(const Endpoint& backend, std::function<void(http::ProbeResult)> done);

  Dependencies deps_;
  SilenceWatch silence_;
  RelayingStatistics statistics_;
};

}  // namespace ochrespring::links
