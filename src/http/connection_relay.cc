#include "http/connection_relay.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "base/socket_address.h"
#include "base/timer.h"
#include "http/h2o_api.h"
#include "http/socket_address.h"
#include "http/tcp_connection.h"

namespace ochrespring::http {

namespace {

constexpr std::string_view kPrefaceBegin = "ochrespring-relay/1 ";
constexpr char kPrefaceEnd = '\n';
constexpr std::size_t kMaxPrefaceBytes = 128;
/// Time until the preface must have arrived.
constexpr Duration kPrefaceTimeout = std::chrono::milliseconds(500);
/// How long the rest of a request is still read after its response has ended.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);
/// Bytes held at most for each direction of a connection.
constexpr std::size_t kBufferBytes = 16U << 10U;
/// How long accepting is suspended when the process has no file descriptors left.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

/// One direction of a relayed connection.
class Direction {
 public:
  enum class Step : std::uint8_t {
    kOpen,
    kSourceClosed,       ///< In order.
    kSourceFailed,       ///< Reset or unresponsive.
    kDestinationFailed,  ///< It takes no more bytes. It may have sent some that are still unread.
  };

  Direction(TcpConnection& from, TcpConnection& to, std::uint64_t& total)
      : from_(from), to_(to), total_(total) {}

  /// Reads from the source unless bytes wait for the destination.
  Step receive() {
    if (!buffer_.empty()) {
      return Step::kOpen;
    }
    std::array<char, kBufferBytes> bytes;
    const IoResult result = from_.read(bytes.data(), bytes.size());
    if (result.status == IoStatus::kDone) {
      buffer_.assign(bytes.data(), result.bytes);
      return send();
    }
    if (result.status == IoStatus::kAgain) {
      return Step::kOpen;
    }
    return result.status == IoStatus::kClosed ? Step::kSourceClosed : Step::kSourceFailed;
  }

  /// Writes what waits for the destination; the source is read only while nothing waits.
  Step send() {
    const IoResult result = to_.write(buffer_, {});
    if (result.status != IoStatus::kDone && result.status != IoStatus::kAgain) {
      return Step::kDestinationFailed;
    }
    total_ += result.bytes;
    buffer_.erase(0, result.bytes);
    from_.set_reading(buffer_.empty());
    if (!buffer_.empty()) {
      to_.await_writable();
    }
    return Step::kOpen;
  }

 private:
  TcpConnection& from_;
  TcpConnection& to_;
  std::uint64_t& total_;
  std::string buffer_;  ///< Read but not yet written.
};

/// Returns the server named by a complete preface line without its end; empty if it is malformed.
Endpoint parse_preface(std::string_view line) {
  return line.starts_with(kPrefaceBegin) ? Endpoint(std::string(line.substr(kPrefaceBegin.size())))
                                         : Endpoint();
}

Endpoint peer_of(int descriptor) {
  SocketAddress address;
  address.length = sizeof(address.storage);
  const bool known = ::getpeername(descriptor, address.get(), &address.length) == 0;
  return known ? format_endpoint(address.get()) : Endpoint();
}

}  // namespace

std::string make_relay_preface(const Endpoint& server) {
  return std::string(kPrefaceBegin).append(server.value()).append(1, kPrefaceEnd);
}

struct ConnectionRelay::State {
  class Relayed;

  EventLoop& loop;
  Options options;
  Callbacks callbacks;
  h2o_socket_t* listener = nullptr;
  Timer accept_pause;
  std::unordered_set<std::shared_ptr<Relayed>> connections;
  RelayStatistics statistics;

  State(EventLoop& event_loop, Options relay_options, Callbacks relay_callbacks)
      : loop(event_loop),
        options(std::move(relay_options)),
        callbacks(std::move(relay_callbacks)),
        accept_pause(event_loop) {}
  ~State() {
    close_listener();
    std::unordered_set<std::shared_ptr<Relayed>>().swap(connections);
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void close_listener() {
    accept_pause.disarm();
    if (listener != nullptr) {
      h2o_socket_close(std::exchange(listener, nullptr));
    }
  }
  void await_connections();
  void accept_connections();
};

/// One relayed connection, from the preface to its end. Owned by the relay's state.
class ConnectionRelay::State::Relayed final : public std::enable_shared_from_this<Relayed> {
 public:
  Relayed(State& relay, int accepted)
      : relay_(relay),
        node_(peer_of(accepted)),
        inner_(TcpConnection::adopt(relay.loop, accepted, kMaxUnacknowledgedTime)),
        timeout_(relay.loop) {
    inner_->set_listener(&inner_events_);
  }

  void start() {
    timeout_.arm(kPrefaceTimeout, [this] { end(); });
    inner_->set_reading(true);
  }

 private:
  /// Passes the events of one of the two connections on to the relayed connection.
  class Events final : public TcpConnection::Listener {
   public:
    using Handler = void (Relayed::*)();
    Events(Relayed& owner, Handler readable, Handler writable)
        : owner_(owner), readable_(readable), writable_(writable) {}
    void on_connected(bool success) override {
      call([&] { owner_.on_connected(success); });
    }
    void on_readable() override {
      call([&] { (owner_.*readable_)(); });
    }
    void on_writable() override {
      call([&] { (owner_.*writable_)(); });
    }

   private:
    template <class Call>
    void call(const Call& handler) {
      const std::shared_ptr<Relayed> keep = owner_.shared_from_this();
      handler();
    }

    Relayed& owner_;
    Handler readable_;
    Handler writable_;
  };

  void on_inner_readable() {
    if (lingering_) {
      discard_request();
    } else if (to_server_) {
      handle_to_server(to_server_->receive());
    } else if (!outer_) {
      read_preface();
    } else {
      // Nothing is expected before the status: the node has given up.
      end();
    }
  }
  void on_inner_writable() { handle_to_node(to_node_->send()); }
  void on_outer_readable() { handle_to_node(to_node_->receive()); }
  void on_outer_writable() { handle_to_server(to_server_->send()); }

  void read_preface() {
    std::array<char, kMaxPrefaceBytes> bytes;
    const IoResult result = inner_->read(bytes.data(), bytes.size() - preface_.size());
    if (result.status == IoStatus::kAgain) {
      return;
    }
    if (result.status != IoStatus::kDone) {
      end();
      return;
    }
    preface_.append(bytes.data(), result.bytes);
    const std::size_t line = preface_.find(kPrefaceEnd);
    if (line != std::string::npos) {
      // The node sends nothing more before the status.
      const bool only_line = line + 1 == preface_.size();
      connect(only_line ? parse_preface(std::string_view(preface_).substr(0, line)) : Endpoint());
    } else if (preface_.size() == kMaxPrefaceBytes) {
      refuse();
    }
  }

  void connect(const Endpoint& server) {
    const auto address = http::parse_endpoint(server);
    const bool has_room = relay_.connections.size() <= relay_.options.max_connections;
    if (!address || !has_room || !relay_.callbacks.admit(node_, server)) {
      refuse();
      return;
    }
    server_ = server;
    auto opened = TcpConnection::open(relay_.loop, address.value(), kMaxUnacknowledgedTime);
    if (!opened) {
      on_connected(false);
      return;
    }
    outer_ = std::move(opened.value());
    outer_->set_listener(&outer_events_);
    timeout_.arm(relay_.options.connect_timeout, [this] {
      const std::shared_ptr<Relayed> keep = shared_from_this();
      on_connected(false);
    });
  }

  void on_connected(bool success) {
    timeout_.disarm();
    relay_.callbacks.on_result(server_, success);
    ++(success ? relay_.statistics.connected : relay_.statistics.unreachable);
    if (!success) {
      state_and_end(RelayStatus::kUnreachable);
      return;
    }
    if (!send_status(RelayStatus::kConnected)) {
      end();
      return;
    }
    to_server_.emplace(*inner_, *outer_, relay_.statistics.bytes);
    to_node_.emplace(*outer_, *inner_, relay_.statistics.bytes);
    outer_->set_reading(true);
  }

  void refuse() {
    ++relay_.statistics.refused;
    state_and_end(RelayStatus::kRefused);
  }

  bool send_status(RelayStatus status) {
    const char byte = static_cast<char>(status);
    const IoResult result = inner_->write({&byte, 1}, {});
    return result.status == IoStatus::kDone && result.bytes == 1;
  }

  void state_and_end(RelayStatus status) {
    send_status(status);
    inner_->close_in_order();
    end();
  }

  void handle_to_server(Direction::Step step) {
    switch (step) {
      case Direction::Step::kOpen:
        return;
      case Direction::Step::kDestinationFailed:
        // The response that has arrived is still passed on, and how it ends.
        inner_->set_reading(false);
        return;
      case Direction::Step::kSourceClosed:
      case Direction::Step::kSourceFailed:
        end_without_node();
        return;
    }
  }

  void handle_to_node(Direction::Step step) {
    switch (step) {
      case Direction::Step::kOpen:
        return;
      case Direction::Step::kDestinationFailed:
        end_without_node();
        return;
      case Direction::Step::kSourceClosed:
        linger();
        return;
      case Direction::Step::kSourceFailed:
        end();
        return;
    }
  }

  /// Ends the response in order. The node may still be sending its request, and closing a
  /// connection with unread input would reset it.
  void linger() {
    lingering_ = true;
    to_server_.reset();
    to_node_.reset();
    outer_.reset();
    inner_->end_output();
    inner_->set_reading(true);
    timeout_.arm(kLingerTimeout, [this] { end(); });
  }

  void discard_request() {
    std::array<char, kBufferBytes> bytes;
    const IoStatus status = inner_->read(bytes.data(), bytes.size()).status;
    if (status != IoStatus::kDone && status != IoStatus::kAgain) {
      end();
    }
  }

  /// The server must not receive more of a request that the node has given up.
  void end_without_node() {
    outer_->discard_unacknowledged();
    end();
  }

  /// Closes both connections; the node's one by a reset unless its output has ended in order.
  void end() {
    const std::shared_ptr<Relayed> keep = shared_from_this();
    timeout_.disarm();
    to_server_.reset();
    to_node_.reset();
    inner_.reset();
    outer_.reset();
    if (relay_.connections.erase(keep) != 0 && relay_.connections.empty()) {
      relay_.callbacks.on_idle();
    }
  }

  State& relay_;
  Endpoint node_;
  Endpoint server_;
  std::string preface_;
  Events inner_events_{*this, &Relayed::on_inner_readable, &Relayed::on_inner_writable};
  Events outer_events_{*this, &Relayed::on_outer_readable, &Relayed::on_outer_writable};
  std::unique_ptr<TcpConnection> inner_;  ///< To the node that asked.
  std::unique_ptr<TcpConnection> outer_;  ///< To the server.
  std::optional<Direction> to_server_;    ///< Set once the server is connected.
  std::optional<Direction> to_node_;
  bool lingering_ = false;  ///< The response has ended; the rest of the request is discarded.
  Timer timeout_;
};

void ConnectionRelay::State::await_connections() {
  h2o_socket_read_start(listener, [](h2o_socket_t* socket, const char* error) {
    if (error == nullptr) {
      static_cast<State*>(socket->data)->accept_connections();
    }
  });
}

void ConnectionRelay::State::accept_connections() {
  const int descriptor = h2o_socket_get_fd(listener);
  for (int accepted = 0;
       (accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    if (connections.size() > options.max_connections) {
      // The peers of the open ones have half a second to name a server.
      ++statistics.refused;
      ::close(accepted);
      continue;
    }
    const auto relayed = std::make_shared<Relayed>(*this, accepted);
    connections.insert(relayed);
    relayed->start();
  }
  if (errno == EMFILE || errno == ENFILE) {
    h2o_socket_read_stop(listener);
    accept_pause.arm(kAcceptPause, [this] { await_connections(); });
  }
}

ConnectionRelay::ConnectionRelay(EventLoop& loop, Options options, Callbacks callbacks)
    : state_(std::make_unique<State>(loop, std::move(options), std::move(callbacks))) {}

ConnectionRelay::~ConnectionRelay() = default;

Result<void, HttpError> ConnectionRelay::listen() {
  BOOST_OUTCOME_TRY(descriptor, open_listener(state_->options.listen, false));
  state_->listener =
      h2o_evloop_socket_create(state_->loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
  state_->listener->data = state_.get();
  state_->await_connections();
  return outcome::success();
}

void ConnectionRelay::stop_accepting() {
  state_->close_listener();
}

Endpoint ConnectionRelay::bound() const {
  return state_->listener == nullptr ? Endpoint()
                                     : bound_endpoint(h2o_socket_get_fd(state_->listener));
}

std::size_t ConnectionRelay::open_connections() const {
  return state_->connections.size();
}

const RelayStatistics& ConnectionRelay::statistics() const {
  return state_->statistics;
}

}  // namespace ochrespring::http
