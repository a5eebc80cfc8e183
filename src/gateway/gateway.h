// The gateway of one node: takes callers' requests and sees each to its end.
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

/// Brings the fleet state up to date, then calls back with whether it is the newest.
using Refresh = std::function<void(std::function<void(bool current)> done)>;

/// Requests that a gateway holds, by what they wait for.
struct HeldRequests {
  std::size_t at_configuration = 0;  ///< Whether there is a newer one.
  std::size_t at_back_ends = 0;      ///< An answer, or the rest of one; or leave to be sent.

  std::size_t queued = 0;  ///< A back end that is not full.

  std::size_t total() const { return at_configuration + at_back_ends + queued; }
};

/// Used on one loop; outlives its requests only if destroyed after the loop has stopped.
class Gateway {
 public:
  Gateway(Environment environment, Refresh refresh);

  void handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  /// All that have been handed over and have no final answer yet.
  HeldRequests held() const;
  std::size_t running() const { return held().total(); }
  /// The request has come to be quarantined; of those running, it ends where it still waits.
  void on_quarantined(const RequestFingerprint& request);
  /// A back end is no longer registered.
  void on_backend_unregistered(const BackendId& backend);
  /// The process ends at `end`. A request that comes from now on and may last longer, or would have
  /// to wait for a newer configuration, is refused at once, so that its caller goes elsewhere: 1.2
  /// s into its answer it would be cut, at a node whose callers had 6 s to notice and had kept a
  /// connection all the same.
  void end_at(MonotonicTime end) { environment_.ends_at = end; }
  /// The process ends now: each request that is held gets its final answer, which says whether it
  /// may have run, where a connection that closes would leave its caller to guess.
  void end_all();
  /// Called whenever the last request that was held has ended.
  void on_idle(std::function<void()> callback) { idle_ = std::move(callback); }

 private:
  struct WaitingRequest {
    http::Request request;
    std::shared_ptr<http::ResponseWriter> writer;
  };

  void await_configuration(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  void on_refreshed(std::uint64_t number, bool current);
  void note_ended();
  std::vector<std::shared_ptr<RequestSession>> running_sessions() const;
  Admission look_up(const http::Request& request) const;
  void start(const Admission& admission, http::Request request,
             std::shared_ptr<http::ResponseWriter> writer);
  void refuse(const http::Request& request, http::ResponseWriter& writer, FailureReason reason);

  Environment environment_;
  Refresh refresh_;
  /// Held here and not by the refresh alone: a stop has to know of them.
  std::map<std::uint64_t, WaitingRequest> waiting_;
  std::uint64_t next_waiting_ = 0;
  std::unordered_set<std::shared_ptr<RequestSession>> sessions_;
  std::function<void()> idle_;
};

}  // namespace ochrespring::gateway
