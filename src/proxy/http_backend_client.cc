#include "proxy/http_backend_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "proxy/headers.h"

namespace ochrespring::proxy {

namespace {

/// Time past the deadline that the transport waits: the request's own deadline decides before.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(50);

AttemptFailure failure_of(http::HttpErrc code) {
  switch (code) {
    case http::HttpErrc::kConnect:
    case http::HttpErrc::kRefused:
    case http::HttpErrc::kAddressInvalid:
    case http::HttpErrc::kAddressInUse:
    case http::HttpErrc::kTlsInvalid:
    case http::HttpErrc::kNoPath:
    case http::HttpErrc::kRelayFailed:
    case http::HttpErrc::kRelayRefused:
      return AttemptFailure::kConnect;
    case http::HttpErrc::kTruncated:
    case http::HttpErrc::kTooLarge:
      return AttemptFailure::kTruncated;
    case http::HttpErrc::kTimeout:
    case http::HttpErrc::kLinkCut:
      return AttemptFailure::kTimeout;
    case http::HttpErrc::kCancelled:
    case http::HttpErrc::kWithdrawn:
      return AttemptFailure::kCancelled;
    case http::HttpErrc::kExpired:
      return AttemptFailure::kGrantLapsed;
    case http::HttpErrc::kReset:
    case http::HttpErrc::kStaleConnection:
      break;
  }
  return AttemptFailure::kReset;
}

http::ClientRequest convert(BackendRequest request, MonotonicTime now) {
  const Duration left = std::max(request.deadline - now, Duration::zero());
  http::ClientRequest made;
  made.endpoint = std::move(request.endpoint);
  made.method = std::move(request.method);
  made.path = std::move(request.path);
  made.headers = std::move(request.headers);
  made.headers.push_back({std::string(header::kRequestId), request.id.value()});
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  made.headers.push_back({std::string(header::kDeadline), std::to_string(milliseconds)});
  made.body = std::move(request.body);
  made.timeout = left + kDeadlineSlack;
  made.fresh_connection = !request.repeatable;
  made.send_before = request.send_before;
  return made;
}

/// One attempt; at most two exchanges.
class HttpAttempt final : public Attempt, private http::ResponseObserver {
 public:
  HttpAttempt(http::Client& client, http::ClientRequest request, bool repeatable,
              AttemptObserver& observer)
      : client_(client), observer_(observer) {
    // The copy costs a repeatable request its size; only a reused connection can need it.
    if (repeatable) {
      again_ = std::make_unique<http::ClientRequest>(request);
    }
    exchange_ = client_.start(std::move(request), *this);
  }

  void set_reading(bool reading) override {
    reading_ = reading;
    exchange_->set_reading(reading);
  }

 private:
  void on_head(const http::ResponseHead& head) override {
    again_.reset();
    observer_.on_head(head);
  }
  void on_body(std::string_view bytes) override { observer_.on_body(bytes); }
  void on_complete() override { observer_.on_complete(); }
  void on_failure(const http::HttpError& error, bool sent) override {
    if (error.code == http::HttpErrc::kStaleConnection && again_) {
      const std::unique_ptr<http::ClientRequest> request = std::move(again_);
      request->fresh_connection = true;
      exchange_ = client_.start(std::move(*request), *this);
      exchange_->set_reading(reading_);
      return;
    }
    observer_.on_failure(failure_of(error.code), sent ? Outcome::kUnknown : Outcome::kNotRun);
  }

  http::Client& client_;
  AttemptObserver& observer_;
  std::unique_ptr<http::ClientRequest> again_;
  std::unique_ptr<http::Exchange> exchange_;
  bool reading_ = true;
};

}  // namespace

std::unique_ptr<Attempt> HttpBackendClient::start(BackendRequest request,
                                                  AttemptObserver& observer) {
  const bool repeatable = request.repeatable;
  return std::make_unique<HttpAttempt>(client_, convert(std::move(request), clock_.now()),
                                       repeatable, observer);
}

}  // namespace ochrespring::proxy
