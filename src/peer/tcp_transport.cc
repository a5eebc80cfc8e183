#include "peer/tcp_transport.h"

#include <h2o.h>
#include <openssl/ssl.h>
#include <unistd.h>

#include <utility>

#include "base/socket_address.h"
#include "peer/connection_context.h"
#include "peer/frame.h"
#include "peer/incoming_connection.h"
#include "peer/outgoing_link.h"
#include "tls/context.h"

namespace ochrespring::peer {

namespace {

constexpr int kBacklog = 512;
/// Connections taken from the backlog in one turn of the loop.
constexpr int kAcceptsPerTurn = 64;
/// Incoming connections accepted, as a multiple of the links allowed.
constexpr std::size_t kIncomingPerLink = 4;

Result<int, PeerError> open_listener(const Endpoint& endpoint) {
  auto address = parse_endpoint(endpoint);
  if (!address) {
    return fail(PeerErrc::kAddressInvalid, "'" + endpoint.value() + "' is no IP number and port");
  }
  const int descriptor =
      socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int reuse = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  if (bind(descriptor, address->get(), address->length) != 0 ||
      ::listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return fail(PeerErrc::kAddressInUse, "cannot listen on " + endpoint.value() +
                                             ": the address is in use or not of this machine");
  }
  return descriptor;
}

Result<tls::ContextPointer, PeerError> make_tls_context(const tls::Identity& identity,
                                                        tls::ContextSide side) {
  auto context = tls::make_context(identity, side, tls::PeerVerification::kRequired);
  if (!context) {
    return fail(PeerErrc::kTlsInvalid, context.error().message);
  }
  // Sessions are not resumed: links are few and last long.
  SSL_CTX_set_session_cache_mode(context.value().get(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_options(context.value().get(), SSL_OP_NO_TICKET);
  return std::move(context).value();
}

}  // namespace

struct TcpTransport::State final : IncomingObserver {
  TcpTransportSettings settings;
  TransportStatistics statistics;
  tls::ContextPointer server_tls;
  tls::ContextPointer client_tls;
  ConnectionContext context;
  MessageHandler handler;
  Endpoint bound;
  h2o_socket_t* listener = nullptr;
  std::unordered_map<Endpoint, std::unique_ptr<OutgoingLink>> links;
  std::unordered_map<h2o_socket_t*, std::unique_ptr<IncomingConnection>> incoming;
  Timer sweep_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  State(http::EventLoop& loop, RandomSource& random, TcpTransportSettings transport_settings)
      : settings(std::move(transport_settings)),
        context{loop, random, settings, statistics, nullptr, nullptr, {}},
        sweep_timer(loop) {}

  ~State() override {
    *alive = false;
    if (listener != nullptr) {
      h2o_socket_close(listener);
    }
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  Result<void, PeerError> use_identity() {
    if (settings.identity == nullptr) {
      return outcome::success();
    }
    const auto identity = settings.identity->current();
    BOOST_OUTCOME_TRY(server, make_tls_context(*identity, tls::ContextSide::kServer));
    BOOST_OUTCOME_TRY(client, make_tls_context(*identity, tls::ContextSide::kClient));
    // Open connections hold their own reference to the old identity.
    server_tls = std::move(server);
    client_tls = std::move(client);
    context.server_tls = server_tls.get();
    context.client_tls = client_tls.get();
    return outcome::success();
  }

  static void on_accept(h2o_socket_t* listener, const char* error) {
    if (error == nullptr) {
      static_cast<State*>(listener->data)->accept_connections();
    }
  }

  void accept_connections() {
    for (int count = 0; count < kAcceptsPerTurn; ++count) {
      h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
      if (socket == nullptr) {
        return;
      }
      if (incoming.size() >= settings.links * kIncomingPerLink) {
        h2o_socket_close(socket);
        continue;
      }
      auto connection = std::make_unique<IncomingConnection>(context, socket, *this);
      IncomingConnection& started = *connection;
      incoming.emplace(socket, std::move(connection));
      started.start();
    }
  }

  void on_frame(const Endpoint& from, const Frame& frame) override {
    ChannelStatistics& channel = statistics.channels.at(static_cast<std::size_t>(frame.channel));
    ++channel.messages_received;
    channel.bytes_received += frame.payload.size() + kLengthBytes;
    handler(from, frame.channel, frame.payload);
  }

  void on_ended(h2o_socket_t* socket) override {
    context.loop.post([this, socket, still = alive] {
      if (*still) {
        incoming.erase(socket);
      }
    });
  }

  void sweep() {
    std::erase_if(links, [](const auto& entry) { return entry.second->sweep(); });
    std::erase_if(incoming, [](const auto& entry) { return entry.second->sweep(); });
    sweep_timer.arm(settings.idle_timeout, [this] { sweep(); });
  }

  OutgoingLink* link_to(const Endpoint& to) {
    const auto found = links.find(to);
    if (found != links.end()) {
      return found->second.get();
    }
    if (links.size() >= settings.links) {
      return nullptr;
    }
    return links.emplace(to, std::make_unique<OutgoingLink>(context, to)).first->second.get();
  }
};

TcpTransport::TcpTransport(http::EventLoop& loop, RandomSource& random,
                           TcpTransportSettings settings)
    : state_(std::make_unique<State>(loop, random, std::move(settings))) {}

TcpTransport::~TcpTransport() = default;

Result<void, PeerError> TcpTransport::listen(MessageHandler handler) {
  BOOST_OUTCOME_TRY(state_->use_identity());
  BOOST_OUTCOME_TRY(descriptor, open_listener(state_->settings.listen));
  state_->handler = std::move(handler);
  state_->bound = bound_endpoint(descriptor);
  if (state_->settings.advertise.empty()) {
    state_->settings.advertise = state_->bound;
  }
  state_->context.hello =
      encode_frame(Hello{kProtocolVersion, state_->settings.cluster, state_->settings.advertise});
  state_->listener = h2o_evloop_socket_create(state_->context.loop.native(), descriptor,
                                              H2O_SOCKET_FLAG_DONT_READ);
  state_->listener->data = state_.get();
  h2o_socket_read_start(state_->listener, &State::on_accept);
  state_->sweep_timer.arm(state_->settings.idle_timeout,
                          [state = state_.get()] { state->sweep(); });
  return outcome::success();
}

const Endpoint& TcpTransport::bound() const {
  return state_->bound;
}

const Endpoint& TcpTransport::advertised() const {
  return state_->settings.advertise;
}

Result<void, PeerError> TcpTransport::refresh_identity() {
  return state_->use_identity();
}

void TcpTransport::send(const Endpoint& to, Channel channel, std::string payload) {
  OutgoingLink* link = state_->link_to(to);
  std::string frame = encode_frame(Frame{channel, std::move(payload)});
  const std::size_t bytes = frame.size();
  if (link == nullptr || !link->enqueue(std::move(frame))) {
    ++state_->statistics.messages_dropped;
    return;
  }
  ChannelStatistics& counters = state_->statistics.channels.at(static_cast<std::size_t>(channel));
  ++counters.messages_sent;
  counters.bytes_sent += bytes;
}

const TransportStatistics& TcpTransport::statistics() const {
  return state_->statistics;
}

std::size_t TcpTransport::queued_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [endpoint, link] : state_->links) {
    bytes += link->queued_bytes();
  }
  return bytes;
}

}  // namespace ochrespring::peer
