// The gateway of one node: takes callers' requests and sees each to its end.
#pragma once

#include <functional>
#include <memory>
#include <unordered_set>

#include "gateway/environment.h"
#include "gateway/request_session.h"
#include "http/server.h"

namespace ochrespring::gateway {

/// Brings the fleet state up to date, then calls back with whether it is the newest.
using Refresh = std::function<void(std::function<void(bool current)> done)>;

/// Used on one loop; outlives its requests only if destroyed after the loop has stopped.
class Gateway {
 public:
  Gateway(Environment environment, Refresh refresh);

  void handle(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  std::size_t running() const { return sessions_.size(); }
  /// The request has come to be quarantined; of those running, it ends where it still waits.
  void on_quarantined(const RequestFingerprint& request);
  /// The process ends at `end`. A request that comes from now on and may last longer is refused at
  /// once, so that its caller goes elsewhere: 1.2 s into its answer it would be cut, at a node
  /// whose callers had 6 s to notice and had kept a connection all the same.
  void end_at(MonotonicTime end) { environment_.ends_at = end; }
  /// Called whenever the last running request has ended.
  void on_idle(std::function<void()> callback) { idle_ = std::move(callback); }

 private:
  Admission look_up(const http::Request& request) const;
  void start(const Admission& admission, http::Request request,
             std::shared_ptr<http::ResponseWriter> writer);
  void refuse(const http::Request& request, http::ResponseWriter& writer, FailureReason reason);

  Environment environment_;
  Refresh refresh_;
  std::unordered_set<std::shared_ptr<RequestSession>> sessions_;
  std::function<void()> idle_;
};

}  // namespace ochrespring::gateway
