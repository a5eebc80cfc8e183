// The gateway of one node: accepts callers' requests and answers each of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

#include "gateway/environment.h"
#include "gateway/request_session.h"
#include "http/server.h"

namespace ochrespring::gateway {

/// Refreshes the fleet state, then reports whether it is up to date.
using RefreshFunction = std::function<void(std::function<void(bool current)> done)>;

/// Number of requests that a gateway holds, by what they wait for.
struct HeldRequests {
  std::size_t awaiting_configuration = 0;  ///< Wait for a newer configuration.
  std::size_t awaiting_backend = 0;        ///< Wait for a back end's answer or for a claim.

  std::size_t queued = 0;  ///< Wait for a back end with room.

  std::size_t total() const { return awaiting_configuration + awaiting_backend + queued; }
};

/// Used on one event loop. Destroy it only after the loop has stopped: sessions and callbacks refer
/// to it.
class Gateway {
 public:
  Gateway(Environment environment, RefreshFunction refresh);

  /// Answers the request through `writer`, possibly after a refresh of the configuration.
  void handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  /// Requests passed to handle() that have no final answer yet.
  HeldRequests held() const;
  std::size_t running() const { return held().total(); }
  /// Called when a request or a prompt part becomes quarantined. Ends its sessions that still wait
  /// for a back end.
  void on_quarantined(const RequestFingerprint& request);
  /// Called when a back end is no longer registered.
  void on_backend_unregistered(const BackendId& backend);
  /// Announces that the process stops at `end`. New requests that may last longer, or that would
  /// wait for a newer configuration, are refused immediately, so that their callers use another
  /// node. Otherwise callers keep using this node until it stops: with 6 s of notice, an answer was
  /// still cut off after 1.2 s.
  void set_shutdown_time(MonotonicTime end) { environment_.shutdown_time = end; }
  /// Called when the process stops. Gives each held request a final answer that says whether it may
  /// have run, which a closed connection would not tell the caller.
  void finish_all();
  /// Sets the callback for each time the last held request has ended.
  void on_idle(std::function<void()> callback) { idle_ = std::move(callback); }

 private:
  void await_configuration(IncomingRequest incoming);
  void on_refreshed(std::uint64_t number, bool current);
  void notify_if_idle();
  std::vector<std::shared_ptr<RequestSession>> running_sessions() const;
  Admission look_up(const http::Request& request) const;
  void start(const Admission& admission, IncomingRequest incoming);
  void refuse(const IncomingRequest& incoming, FailureReason reason);

  Environment environment_;
  RefreshFunction refresh_;
  /// Requests that wait for a refresh. Kept here so that finish_all() can answer them.
  std::map<std::uint64_t, IncomingRequest> waiting_;
  std::uint64_t next_waiting_ = 0;
  std::unordered_set<std::shared_ptr<RequestSession>> sessions_;
  std::function<void()> idle_;
};

}  // namespace ochrespring::gateway
