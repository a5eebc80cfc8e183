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
