#include "http/client.h"

#include <chrono>
#include <string>
#include <unordered_set>
#include <utility>

#include "http/client_exchange.h"
#include "http/connection_pool.h"
#include "http/socket_address.h"
#include "http/tcp_connection.h"

namespace ochrespring::http {

namespace {

/// Handle given to the user of the client.
class ExchangeHandle final : public Exchange {
 public:
  explicit ExchangeHandle(std::shared_ptr<ClientExchange> exchange)
      : exchange_(std::move(exchange)) {}
  ~ExchangeHandle() override { exchange_->cancel(); }
  ExchangeHandle(const ExchangeHandle&) = delete;
  ExchangeHandle& operator=(const ExchangeHandle&) = delete;

  void set_reading(bool reading) override { exchange_->set_reading(reading); }
  bool sent() const override { return exchange_->sent(); }

 private:
  std::shared_ptr<ClientExchange> exchange_;
};

class Fetch;
/// The running fetches of a client; they end with it.
using RunningFetches = std::unordered_set<std::shared_ptr<Fetch>>;

/// Collects one complete response; owned by its client until done.
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
      finish(outcome::failure(
          FetchFailure{{HttpErrc::kTooLarge, "response body exceeds the limit"}, true}));
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

class ConnectionProbe;
/// The running probes of a client; they end with it.
using RunningProbes = std::unordered_set<std::shared_ptr<ConnectionProbe>>;

/// Opens and closes one connection; owned by its client until done.
class ConnectionProbe final : public TcpConnection::Listener,
                              public std::enable_shared_from_this<ConnectionProbe> {
 public:
  using Done = std::function<void(ProbeResult)>;

  ConnectionProbe(EventLoop& loop, RunningProbes& running, Duration open_time, Done done)
      : loop_(loop),
        running_(running),
        open_time_(open_time),
        done_(std::move(done)),
        timeout_(loop) {}

  void start(const Endpoint& endpoint, Duration timeout) {
    running_.insert(shared_from_this());
    const auto address = http::parse_endpoint(endpoint);
    auto opened =
        address
            ? TcpConnection::open(loop_, address.value(), timeout)
            : Result<std::unique_ptr<TcpConnection>, HttpError>(outcome::failure(address.error()));
    if (!opened) {
      loop_.post([self = shared_from_this()] { self->finish(ProbeResult::kRefused); });
      return;
    }
    connection_ = std::move(opened.value());
    connection_->set_listener(this);
    timeout_.arm(timeout, [this] { finish(ProbeResult::kNoAnswer); });
  }

  void on_connected(bool success) override {
    if (!success) {
      finish(ProbeResult::kRefused);
      return;
    }
    timeout_.arm(open_time_, [this] { finish(ProbeResult::kAccepted); });
    connection_->set_reading(true);
  }
  void on_readable() override {
    char byte = 0;
    const IoResult result = connection_->read(&byte, 1);
    if (result.status != IoStatus::kAgain) {
      const bool talks = result.status == IoStatus::kDone;
      finish(talks ? ProbeResult::kAccepted : ProbeResult::kRefused);
    }
  }
  void on_writable() override {}

 private:
  void finish(ProbeResult result) {
    const std::shared_ptr<ConnectionProbe> keep = shared_from_this();
    running_.erase(keep);
    timeout_.disarm();
    connection_.reset();
    if (const Done done = std::exchange(done_, nullptr)) {
      done(result);
    }
  }

  EventLoop& loop_;
  RunningProbes& running_;
  Duration open_time_;
  Done done_;
  Timer timeout_;
  std::unique_ptr<TcpConnection> connection_;
};

}  // namespace

struct Client::State {
  EventLoop& loop;
  ConnectionPool pool;
  ClientStatistics statistics;
  RunningFetches fetches;
  RunningProbes probes;

  explicit State(EventLoop& event_loop) : loop(event_loop), pool(event_loop) {}
  /// Drops the running fetches and probes together with the client.
  ~State() {
    RunningFetches().swap(fetches);
    RunningProbes().swap(probes);
  }
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
                   std::uint64_t max_body_bytes) {
  const auto fetch = std::make_shared<Fetch>(state_->fetches, std::move(done), max_body_bytes);
  fetch->own(start(std::move(request), *fetch));
}

void Client::probe(const Endpoint& endpoint, Duration timeout,
                   std::function<void(ProbeResult)> done, Duration open_time) {
  ++state_->statistics.connections_opened;
  std::make_shared<ConnectionProbe>(state_->loop, state_->probes, open_time, std::move(done))
      ->start(endpoint, timeout);
}

bool Client::has_idle_connection(const Endpoint& endpoint, bool relayed) const {
  return state_->pool.has(endpoint.value(), relayed);
}

void Client::close_idle_direct_connections(const Endpoint& endpoint) {
  state_->pool.close(endpoint.value(), false);
}

void Client::close_idle_connections(const Endpoint& endpoint) {
  state_->pool.close_all(endpoint.value());
}

const ClientStatistics& Client::statistics() const {
  return state_->statistics;
}

}  // namespace ochrespring::http
