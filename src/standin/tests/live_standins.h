// Stand-ins and clients on one event loop, for tests over real sockets.
#pragma once

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/random.h"
#include "external/http/key_value_store.h"
#include "http/client.h"

namespace ochrespring::standin::testing {

/// An event loop that the test runs until something has happened.
struct LiveLoop {
  SystemClock clock;
  http::EventLoop loop;
  http::Client client{loop};
  SeededRandom random{1};

  /// Runs the loop, which anything may stop, until `condition` holds.
  void run_until(const std::function<bool()>& condition) {
    while (!condition()) {
      loop.run();
    }
  }

  /// Runs an asynchronous platform call to its end.
  template <class T>
  Result<T, external::ExternalError> wait(
      const std::function<void(external::ExternalCallback<T>)>& call) {
    std::optional<Result<T, external::ExternalError>> result;
    call([this, &result](Result<T, external::ExternalError> done) {
      result.emplace(std::move(done));
      loop.stop();
    });
    REQUIRE_FALSE(result.has_value());  // Never inside the call.
    run_until([&result] { return result.has_value(); });
    return std::move(*result);
  }

  /// Fetches one answer.
  Result<http::Response, http::FetchFailure> fetch(const Endpoint& endpoint, std::string method,
                                                   std::string path, std::string body = {},
                                                   std::vector<http::Header> headers = {}) {
    http::ClientRequest request;
    request.endpoint = endpoint;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = std::move(headers);
    std::optional<Result<http::Response, http::FetchFailure>> result;
    client.fetch(std::move(request), [this, &result](auto done) {
      result.emplace(std::move(done));
      loop.stop();
    });
    run_until([&result] { return result.has_value(); });
    return std::move(*result);
  }
};

}  // namespace ochrespring::standin::testing
