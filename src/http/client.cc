#include "http/client.h"

#include <string>
#include <unordered_set>
#include <utility>

#include "http/client_exchange.h"
#include "http/connection_pool.h"

namespace ochrespring::http {

namespace {

/// The caller's handle.
class ExchangeHandle final : public Exchange {
 public:
  explicit ExchangeHandle(std::shared_ptr<ClientExchange> exchange)
      : exchange_(std::move(exchange)) {}
  ~ExchangeHandle() override { exchange_->cancel(); }
  ExchangeHandle(const ExchangeHandle&) = delete;
  ExchangeHandle& operator=(const ExchangeHandle&) = delete;

  void set_reading(bool reading) override { exchange_->set_reading(reading); }

 private:
  std::shared_ptr<ClientExchange> exchange_;
};

class Fetch;
/// The fetches a client is busy with; they end with it.
using RunningFetches = std::unordered_set<std::shared_ptr<Fetch>>;

/// Collects one whole answer; held by its client until done.
class Fetch final : public ResponseObserver, public std::enable_shared_from_this<Fetch> {
 public:
  using Done = std::function<void(Result<Response, FetchFailure>)>;

  Fetch(RunningFetches& running, Done done, std::uint64_t largest)
      : running_(running), done_(std::move(done)), largest_(largest) {}

  void own(std::unique_ptr<Exchange> exchange) {
    exchange_ = std::move(exchange);
    running_.insert(shared_from_this());
  }

  void on_head(const ResponseHead& head) override { response_.head = head; }

  void on_body(std::string_view bytes) override {
    if (response_.body.size() + bytes.size() > largest_) {
      finish(
          outcome::failure(FetchFailure{{HttpErrc::kTooLarge, "the answer is too large"}, true}));
      return;
    }
    response_.body.append(bytes);
  }

  void on_complete() override { finish(std::move(response_)); }

  void on_failure(const HttpError& error, bool sent) override {
    finish(outcome::failure(FetchFailure{error, sent}));
  }

 private:
  void finish(Result<Response, FetchFailure> result) {
    if (!done_) {
      return;
    }
    const std::shared_ptr<Fetch> keep = shared_from_this();
    running_.erase(keep);
    const Done done = std::exchange(done_, nullptr);
    exchange_.reset();
    done(std::move(result));
  }

  RunningFetches& running_;
  Done done_;
  std::uint64_t largest_;
  Response response_;
  std::unique_ptr<Exchange> exchange_;
};

}  // namespace

struct Client::State {
  EventLoop& loop;
  ConnectionPool pool;
  ClientStatistics statistics;
  RunningFetches fetches;

  explicit State(EventLoop& event_loop) : loop(event_loop), pool(event_loop) {}
  /// Fetches that nobody waits for any more end with their client.
  ~State() { RunningFetches().swap(fetches); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;
};

Client::Client(EventLoop& loop) : state_(std::make_unique<State>(loop)) {}

Client::~Client() = default;

std::unique_ptr<Exchange> Client::start(ClientRequest request, ResponseObserver& observer) {
  auto exchange = std::make_shared<ClientExchange>(state_->loop, state_->pool, state_->statistics,
                                                   std::move(request), observer);
  exchange->start();
  return std::make_unique<ExchangeHandle>(std::move(exchange));
}

void Client::fetch(ClientRequest request, std::function<void(Result<Response, FetchFailure>)> done,
                   std::uint64_t largest_body_bytes) {
  const auto fetch = std::make_shared<Fetch>(state_->fetches, std::move(done), largest_body_bytes);
  fetch->own(start(std::move(request), *fetch));
}

bool Client::has_idle_connection(const Endpoint& endpoint) const {
  return state_->pool.has(endpoint.value());
}

void Client::forget(const Endpoint& endpoint) {
  state_->pool.forget(endpoint.value());
}

const ClientStatistics& Client::statistics() const {
  return state_->statistics;
}

}  // namespace ochrespring::http
