// Back ends over HTTP: the proxy's BackendClient on http::Client.
#pragma once

#include <memory>

#include "base/time.h"
#include "http/client.h"
#include "proxy/backend.h"

namespace ochrespring::proxy {

/// Used on the loop of `client` only. A repeatable request that met a stale pooled connection is
/// sent once more on a new one.
class HttpBackendClient final : public BackendClient {
 public:
  HttpBackendClient(http::Client& client, const Clock& clock) : client_(client), clock_(clock) {}

  std::unique_ptr<Attempt> start(BackendRequest request, AttemptObserver& observer) override;

 private:
  http::Client& client_;
  const Clock& clock_;
};

}  // namespace ochrespring::proxy
