#include "simulation/exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "proxy/headers.h"

namespace ochrespring::simulation {

using proxy::AttemptFailure;
using proxy::Outcome;

namespace {

/// Time for a connection to be accepted, on the proxy's clock.
constexpr Duration kConnectLimit = std::chrono::seconds(1);

/// State shared by both sides and by the segments under way.
class Exchange final : public ServerStream, public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const ExchangeContext& context, BackendHost* host, proxy::BackendRequest request,
           proxy::AttemptObserver& observer)
      : context_(context),
        host_(host),
        request_(std::move(request)),
        observer_(&observer),
        outbound_(std::make_shared<StreamDirection>(context.network, context.self,
                                                    request_.endpoint.value())),
        inbound_(std::make_shared<StreamDirection>(context.network, request_.endpoint.value(),
                                                   context.self)) {}

  void connect() {
    const auto process = context_.process.lock();
    limit_ = process->schedule_after(kConnectLimit, [self = shared_from_this()] {
      self->fail_attempt(AttemptFailure::kConnect);
    });
    outbound_->send([self = shared_from_this()] { self->on_connect_at_host(); });
  }

  /// The proxy no longer wants the answer.
  void cancel() {
    end_client();
    outbound_->send([self = shared_from_this()] { self->cancelled_at_host_ = true; });
  }

  void send_head(const proxy::BackendResponseHead& head) override {
    to_proxy([this, head](proxy::AttemptObserver& observer) {
      const auto length = http::find_header(head.headers, proxy::header::kContentLength);
      if (!length.empty()) {
        body_left_ = std::stoull(std::string(length));
      }
      observer.on_head(head);
    });
  }
  void send_body(std::string bytes) override {
    to_proxy([this, text = std::move(bytes)](proxy::AttemptObserver& observer) {
      if (body_left_) {
        *body_left_ -= std::min<std::uint64_t>(*body_left_, text.size());
      }
      observer.on_body(text);
    });
  }
  void finish() override {
    answer_sent_ = true;
    on_proxy_loop([](Exchange& self) {
      if (self.body_left_.value_or(0) != 0) {
        // The connection ended before the length that the head announced.
        self.fail_attempt(AttemptFailure::kTruncated);
        return;
      }
      proxy::AttemptObserver* observer = self.observer_;
      self.end_client();
      observer->on_complete();
    });
  }
  void reset() override {
    answer_sent_ = true;
    on_proxy_loop([](Exchange& self) {
      self.fail_attempt(self.head_seen_ ? AttemptFailure::kTruncated : AttemptFailure::kReset);
    });
  }
  bool wanted() const override { return !cancelled_at_host_ && !answer_sent_; }

 private:
  void on_connect_at_host() {
    if (host_ == nullptr || !host_->listening()) {
      on_proxy_loop([](Exchange& self) { self.fail_attempt(AttemptFailure::kConnect); });
      return;
    }
    host_incarnation_ = host_->incarnation();
    on_proxy_loop([](Exchange& self) { self.on_connected(); });
  }

  void on_connected() {
    const auto process = context_.process.lock();
    if (process->now() >= request_.send_before) {
      fail_attempt(AttemptFailure::kGrantLapsed);
      return;
    }
    process->cancel(limit_);
    const Duration left = std::max(request_.deadline - process->now(), Duration::zero());
    limit_ = process->schedule_after(
        left, [self = shared_from_this()] { self->fail_attempt(AttemptFailure::kTimeout); });
    request_sent_ = true;
    const MonotonicTime sent = context_.network.time().now();
    outbound_->send([self = shared_from_this(), sent] { self->on_request_at_host(sent); });
  }

  void on_request_at_host(MonotonicTime sent) {
    if (!host_->listening() || host_->incarnation() != host_incarnation_) {
      reset();
      return;
    }
    host_->serve({request_, context_.node, sent}, shared_from_this());
  }

  /// Runs `step` on the proxy's loop if the attempt is still wanted there.
  void on_proxy_loop(std::function<void(Exchange&)> step) {
    inbound_->send([self = shared_from_this(), step = std::move(step)] {
      if (const auto process = self->context_.process.lock()) {
        process->post([self, step] {
          if (self->observer_ != nullptr) {
            step(*self);
          }
        });
      }
    });
  }

  void to_proxy(std::function<void(proxy::AttemptObserver&)> tell) {
    if (answer_sent_) {
      return;
    }
    on_proxy_loop([tell = std::move(tell)](Exchange& self) {
      self.head_seen_ = true;
      tell(*self.observer_);
    });
  }

  void fail_attempt(AttemptFailure failure) {
    proxy::AttemptObserver* observer = observer_;
    end_client();
    outbound_->send([self = shared_from_this()] { self->cancelled_at_host_ = true; });
    if (observer != nullptr) {
      observer->on_failure(failure, request_sent_ ? Outcome::kUnknown : Outcome::kNotRun);
    }
  }

  void end_client() {
    observer_ = nullptr;
    if (const auto process = context_.process.lock()) {
      process->cancel(limit_);
    }
  }

  ExchangeContext context_;
  BackendHost* host_;
  proxy::BackendRequest request_;
  proxy::AttemptObserver* observer_;  ///< Null once the attempt has ended for the proxy.
  std::shared_ptr<StreamDirection> outbound_;
  std::shared_ptr<StreamDirection> inbound_;
  TimerId limit_ = 0;
  Incarnation host_incarnation_;
  std::optional<std::uint64_t> body_left_;  ///< Of the announced length.
  bool request_sent_ = false;
  bool head_seen_ = false;
  bool answer_sent_ = false;        ///< The back end has ended its side.
  bool cancelled_at_host_ = false;  ///< The back end knows that the answer is not wanted.
};

class ExchangeAttempt final : public proxy::Attempt {
 public:
  explicit ExchangeAttempt(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}
  ~ExchangeAttempt() override { exchange_->cancel(); }
  ExchangeAttempt(const ExchangeAttempt&) = delete;
  ExchangeAttempt& operator=(const ExchangeAttempt&) = delete;
  void set_reading(bool /*reading*/) override {}

 private:
  std::shared_ptr<Exchange> exchange_;
};

}  // namespace

std::unique_ptr<proxy::Attempt> start_exchange(const ExchangeContext& context, BackendHost* host,
                                               proxy::BackendRequest request,
                                               proxy::AttemptObserver& observer) {
  auto exchange = std::make_shared<Exchange>(context, host, std::move(request), observer);
  exchange->connect();
  return std::make_unique<ExchangeAttempt>(std::move(exchange));
}

}  // namespace ochrespring::simulation
