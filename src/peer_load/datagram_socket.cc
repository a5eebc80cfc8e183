#include "peer_load/datagram_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "base/socket_address.h"
#include "http/h2o_api.h"

namespace ochrespring::peer_load {

namespace {

constexpr std::size_t kMaxDatagramBytes = 8192;
/// Maximum number of datagrams received for one event of the loop.
constexpr int kMaxDatagramsPerRead = 64;

}  // namespace

struct DatagramSocket::State {
  h2o_socket_t* socket = nullptr;
  Receive receive;

  State() = default;
  ~State() {
    if (socket != nullptr) {
      h2o_socket_close(socket);
    }
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  static void on_readable(h2o_socket_t* socket, const char* /*error*/) {
    auto* state = static_cast<State*>(socket->data);
    std::array<char, kMaxDatagramBytes> buffer;
    for (int i = 0; i != kMaxDatagramsPerRead; ++i) {
      const ssize_t size =
          ::recv(h2o_socket_get_fd(socket), buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size < 0) {
        return;
      }
      state->receive({buffer.data(), static_cast<std::size_t>(size)});
    }
  }
};

DatagramSocket::DatagramSocket(std::unique_ptr<State> state) : state_(std::move(state)) {}

DatagramSocket::~DatagramSocket() = default;

Result<std::unique_ptr<DatagramSocket>, http::HttpError> DatagramSocket::bind(
    http::EventLoop& loop, const Endpoint& endpoint, Receive receive) {
  const auto address = parse_endpoint(endpoint);
  if (!address) {
    return fail(http::HttpErrc::kAddressInvalid, "invalid address: " + endpoint.value());
  }
  const int descriptor =
      ::socket(address->storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0 || ::bind(descriptor, address->get(), address->length) != 0) {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
    return fail(http::HttpErrc::kAddressInUse, "cannot bind UDP socket to " + endpoint.value());
  }
  auto state = std::make_unique<State>();
  state->receive = std::move(receive);
  state->socket = h2o_evloop_socket_create(loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
  state->socket->data = state.get();
  h2o_socket_read_start(state->socket, State::on_readable);
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(state)));
}

void DatagramSocket::send(const Endpoint& endpoint, std::string_view bytes) {
  const auto address = parse_endpoint(endpoint);
  if (address) {
    ::sendto(h2o_socket_get_fd(state_->socket), bytes.data(), bytes.size(),
             MSG_DONTWAIT | MSG_NOSIGNAL, address->get(), address->length);
  }
}

Endpoint DatagramSocket::bound() const {
  return bound_endpoint(h2o_socket_get_fd(state_->socket));
}

}  // namespace ochrespring::peer_load
