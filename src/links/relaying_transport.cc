#include "links/relaying_transport.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ochrespring::links {

namespace {

using std::chrono::milliseconds;

/// Limit for a direct connection if other nodes could relay. Back ends are in the same network.
constexpr Duration kDirectConnectTimeout = milliseconds(150);
/// Limit for a relayed connection: the relay's own limit for connecting, and the way to it.
constexpr Duration kRelayConnectTimeout = milliseconds(250);
/// Limit for all ways together. The request tells the back end how much time was left when the
/// first way was tried.
constexpr Duration kMaxOpeningTime = milliseconds(450);
constexpr std::size_t kMaxRelaysAsked = 3;
/// A relay is asked only if it has time to state that it cannot connect either.
constexpr Duration kMinRelayTime = milliseconds(200);

}  // namespace

/// An exchange that goes over to another way while none of its bytes has been sent.
class RelayingTransport::RoutedExchange final : public http::Exchange,
                                                public http::ResponseObserver {
 public:
  RoutedExchange(RelayingTransport& transport, http::ClientRequest request,
                 http::ResponseObserver& observer)
      : transport_(transport),
        deps_(transport.deps_),
        request_(std::move(request)),
        observer_(observer),
        deadline_(deps_.clock.now() + request_.timeout),
        opening_deadline_(deps_.clock.now() + std::min(kMaxOpeningTime, request_.timeout)),
        later_(deps_.timers) {}
  ~RoutedExchange() override { stop_waiting(); }
  RoutedExchange(const RoutedExchange&) = delete;
  RoutedExchange& operator=(const RoutedExchange&) = delete;

  void begin() {
    if (deps_.relays.has_peers() && deps_.links.is_cut(request_.endpoint)) {
      start_relayed();
    } else {
      start_direct();
    }
  }

  void set_reading(bool reading) override {
    if (exchange_) {
      exchange_->set_reading(reading);
    }
  }
  bool sent() const override { return exchange_ && exchange_->sent(); }

  void on_head(const http::ResponseHead& head) override {
    note_heard();
    observer_.on_head(head);
  }
  void on_body(std::string_view bytes) override {
    note_heard();
    observer_.on_body(bytes);
  }
  void on_complete() override {
    stop_waiting();
    observer_.on_complete();
  }

  void on_failure(const http::HttpError& error, bool sent) override {
    stop_waiting();
    const bool decided =
        error.code == http::HttpErrc::kWithdrawn || error.code == http::HttpErrc::kExpired;
    if (sent || decided) {
      observer_.on_failure(relay_.empty() && sent ? attribute(error) : error, sent);
    } else if (relay_.empty()) {
      on_direct_failure(error);
    } else {
      on_relay_failure(error);
    }
  }

 private:
  void start_direct() {
    relay_ = Endpoint();
    if (deps_.relays.has_peers()) {
      start(kDirectConnectTimeout);
    } else {
      start(request_.connect_timeout);
    }
    waiting_ = transport_.silence_.begin(request_.endpoint);
  }

  /// Tries the next relay, or ends the exchange if there is none.
  void start_relayed() {
    const bool may_ask =
        asked_.size() < kMaxRelaysAsked && opening_deadline_ - deps_.clock.now() >= kMinRelayTime;
    const auto relay = may_ask ? deps_.relays.choose(request_.endpoint, asked_) : std::nullopt;
    if (!relay) {
      // The observer must not be called from within start().
      later_.arm(Duration::zero(), [this] { end_without_path(); });
      return;
    }
    relay_ = *relay;
    asked_.insert(relay_);
    start(kRelayConnectTimeout);
  }

  void start(Duration connect_timeout) {
    const MonotonicTime now = deps_.clock.now();
    http::ClientRequest request = request_;
    request.fresh_connection = request.fresh_connection || (relay_.empty() && retried_stale_);
    request.timeout = deadline_ - now;
    request.connect_timeout = std::min(request.connect_timeout, connect_timeout);
    if (deps_.relays.has_peers()) {
      request.connect_timeout = std::min(request.connect_timeout, opening_deadline_ - now);
    }
    if (!relay_.empty()) {
      // A node that leaves ends its connections with its grace period.
      request.relay = http::RelayHop{
          relay_, [&relays = deps_.relays](const Endpoint& node) { return relays.is_relay(node); }};
    }
    exchange_ = deps_.connections.start(std::move(request), *this);
  }

  void on_direct_failure(const http::HttpError& error) {
    if (error.code == http::HttpErrc::kStaleConnection && !retried_stale_) {
      retried_stale_ = true;
      start_direct();
      return;
    }
    if (!deps_.relays.has_peers()) {
      observer_.on_failure(error, false);
      return;
    }
    deps_.links.note_unreachable(request_.endpoint);
    start_relayed();
  }

  void on_relay_failure(const http::HttpError& error) {
    if (error.code == http::HttpErrc::kConnect &&
        ++unreachable_for_relays_ >= relays_to_believe()) {
      deps_.links.note_unreachable_for_relay(request_.endpoint);
      observer_.on_failure(error, false);
      return;
    }
    if (error.code == http::HttpErrc::kRelayRefused) {
      deps_.relays.note_refused(relay_, request_.endpoint);
    } else if (error.code == http::HttpErrc::kRelayFailed) {
      deps_.relays.note_unreachable(relay_);
    }
    start_relayed();
  }

  /// While this node is partitioned, others may be as well without knowing it yet.
  std::size_t relays_to_believe() const { return deps_.links.is_partitioned() ? 2 : 1; }

  /// If the node is not partitioned, the back end is probably unreachable for all nodes.
  void end_without_path() {
    ++transport_.statistics_.without_path;
    const http::HttpErrc code =
        deps_.links.is_partitioned() ? http::HttpErrc::kNoPath : http::HttpErrc::kConnect;
    observer_.on_failure({code, "the link is cut and no other node relays"}, false);
  }

  /// A cut link makes a sound back end appear unresponsive.
  http::HttpError attribute(const http::HttpError& error) {
    if (error.code == http::HttpErrc::kTimeout && deps_.links.is_cut(request_.endpoint)) {
      return {http::HttpErrc::kLinkCut, error.message};
    }
    deps_.links.check(request_.endpoint);
    return error;
  }

  void note_heard() {
    if (relay_.empty()) {
      transport_.silence_.note_heard();
    } else if (!std::exchange(heard_, true)) {
      ++transport_.statistics_.relayed;
      deps_.relays.note_relayed(relay_);
      deps_.links.note_answered_relay(request_.endpoint);
    }
  }

  void stop_waiting() {
    if (waiting_ != 0) {
      transport_.silence_.end(std::exchange(waiting_, 0));
    }
  }

  RelayingTransport& transport_;
  Dependencies& deps_;
  http::ClientRequest request_;
  http::ResponseObserver& observer_;
  MonotonicTime deadline_;
  MonotonicTime opening_deadline_;
  std::unique_ptr<http::Exchange> exchange_;
  SilenceWatch::ExchangeId waiting_ = 0;  ///< Zero if it waits for no back end directly.
  Endpoint relay_;                        ///< Empty while the direct way is tried or used.
  std::set<Endpoint> asked_;
  std::size_t unreachable_for_relays_ = 0;
  Timer later_;
  bool retried_stale_ = false;
  bool heard_ = false;
};

RelayingTransport::RelayingTransport(Dependencies deps)
    : deps_(deps), silence_(deps.clock, deps.timers, deps.random, [this](const Endpoint& backend) {
        deps_.links.check(backend);
      }) {}

std::unique_ptr<http::Exchange> RelayingTransport::start(http::ClientRequest request,
                                                         http::ResponseObserver& observer) {
  auto exchange = std::make_unique<RoutedExchange>(*this, std::move(request), observer);
  exchange->begin();
  return exchange;
}

void RelayingTransport::send_and_forget(http::ClientRequest request) {
  fetch(std::move(request), [](const auto&) {});
}

void RelayingTransport::fetch(
    http::ClientRequest request,
    std::function<void(Result<http::Response, http::FetchFailure>)> done) {
  const bool cut = deps_.links.is_cut(request.endpoint);
  if (cut) {
    if (const auto relay = deps_.relays.choose(request.endpoint)) {
      request.relay = http::RelayHop{*relay};
    }
  }
  deps_.connections.fetch(std::move(request), [cut, done = std::move(done)](auto result) {
    if (cut && !result && result.error().error.code == http::HttpErrc::kRefused) {
      result.error().error.code = http::HttpErrc::kNoPath;
    }
    done(std::move(result));
  });
}

void RelayingTransport::probe(const Endpoint& backend,
                              std::function<void(http::ProbeResult)> done) {
  if (deps_.links.is_cut(backend)) {
    probe_relayed(backend, std::move(done));
    return;
  }
  deps_.connections.probe(
      backend, [this, backend, done = std::move(done)](http::ProbeResult result) mutable {
        if (result != http::ProbeResult::kAccepted && deps_.links.is_cut(backend)) {
          probe_relayed(backend, std::move(done));
        } else {
          done(result);
        }
      });
}

/// Opens a relayed connection and withdraws the request before it is sent.
void RelayingTransport::probe_relayed(const Endpoint& backend,
                                      std::function<void(http::ProbeResult)> done) {
  const auto relay = deps_.relays.choose(backend);
  if (!relay) {
    done(http::ProbeResult::kNoAnswer);
    return;
  }
  http::ClientRequest request;
  request.endpoint = backend;
  request.relay = http::RelayHop{*relay};
  request.fresh_connection = true;
  request.timeout = kRelayConnectTimeout;
  request.connect_timeout = kRelayConnectTimeout;
  request.may_send = [] { return false; };
  deps_.connections.fetch(std::move(request), [done = std::move(done)](const auto& result) {
    const http::HttpErrc code = result ? http::HttpErrc::kWithdrawn : result.error().error.code;
    if (code == http::HttpErrc::kWithdrawn) {
      done(http::ProbeResult::kAccepted);
    } else {
      done(code == http::HttpErrc::kConnect ? http::ProbeResult::kRefused
                                            : http::ProbeResult::kNoAnswer);
    }
  });
}

}  // namespace ochrespring::links
