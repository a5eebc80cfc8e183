// The proxy's two sides as its request logic sees them: the back end an attempt runs on and the
// caller the answer goes to. The logic is free of I/O; h2o and the simulation implement these.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "http/message.h"

namespace ochrespring::proxy {

/// What is certain about an attempt, or about a whole request, when it ends.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< The whole answer arrived, its end proven.
  kNotRun,    ///< No byte of the request left, or the back end said it did not run it.
  kUnknown,   ///< It may have run.
};

using Header = http::Header;

/// A request as it is sent to a back end.
struct BackendRequest {
  RequestId id;  ///< Sent as x-request-id; the answer must echo it.
  Endpoint endpoint;
  std::string method;
  std::string path;
  std::vector<Header> headers;
  std::string body;
  MonotonicTime deadline;  ///< Passed on as the time left.
  bool repeatable = true;  ///< If not, a pooled connection that may be stale must not be used.
  /// No byte may leave at or after this: the routing grant and the claim lapse then.
  MonotonicTime send_before = MonotonicTime::max();
};

using BackendResponseHead = http::ResponseHead;

enum class AttemptFailure : std::uint8_t {
  kConnect,
  kRefused,  ///< The back end said "not run": wrong role, draining, overloaded.
  kReset,
  kTruncated,  ///< The answer ended without its proven end.
  kCrossed,    ///< The answer carried another request's id.
  kTimeout,
  kCancelled,
  kGrantLapsed,  ///< `send_before` had passed before a byte could leave.
};

/// Follows one attempt. Called on the proxy's loop; after on_complete or on_failure nothing
/// follows.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void on_head(const BackendResponseHead& head) = 0;
  virtual void on_body(std::string_view bytes) = 0;
  /// The end of the answer is proven.
  virtual void on_complete() = 0;
  /// `outcome` is kNotRun or kUnknown.
  virtual void on_failure(AttemptFailure failure, Outcome outcome) = 0;
};

/// One running attempt; destruction cancels it at the back end.
class Attempt {
 public:
  virtual ~Attempt() = default;
  /// Stops or resumes reading the answer (back pressure).
  virtual void set_reading(bool reading) = 0;
};

/// Starts attempts; one per proxy loop. Observers are never called inside start().
class BackendClient {
 public:
  virtual ~BackendClient() = default;
  virtual std::unique_ptr<Attempt> start(BackendRequest request, AttemptObserver& observer) = 0;
};

/// The caller's side of one request. Destroyed by its owner when finished or gone.
class CallerStream {
 public:
  virtual ~CallerStream() = default;
  virtual void send_head(const BackendResponseHead& head) = 0;
  virtual void send_body(std::string_view bytes) = 0;
  virtual void finish() = 0;
  /// Cuts the answer in a way the caller cannot mistake for its end.
  virtual void abort() = 0;
  /// Bytes accepted and not yet taken by the caller.
  virtual std::size_t buffered_bytes() const = 0;
};

}  // namespace ochrespring::proxy
