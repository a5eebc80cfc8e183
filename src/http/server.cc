#include "http/server.h"

#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "http/caller_guard_state.h"
#include "http/h2o_api.h"
#include "http/response_stream.h"
#include "http/socket_address.h"
#include "http/tcp_state.h"
#include "http/tls.h"

namespace ochrespring::http {

namespace {

/// Connections accepted per loop iteration.
constexpr int kAcceptsPerIteration = 64;
/// How long accepting is suspended when the process has no file descriptors left.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
constexpr std::size_t kHttp2RequestsPerConnection = 256;
/// Charged for a request besides its bytes.
constexpr std::size_t kHandledRequestBytes = 8U << 10U;
/// h2o's copies of smaller bodies are kept.
constexpr std::size_t kMinReleasedBytes = 64U << 10U;
/// Loop iterations for closing connections when the server is destroyed.
constexpr int kClosingIterations = 16;

std::uint64_t to_milliseconds(Duration span) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

struct Route {
  std::string prefix;
  Handler handler;
};

std::vector<Header> copy_headers(const h2o_req_t& request) {
  std::vector<Header> headers;
  headers.reserve(request.headers.size + 1);
  for (std::size_t i = 0; i != request.headers.size; ++i) {
    const h2o_header_t& header = request.headers.entries[i];
    headers.push_back({std::string(to_view(*header.name)), std::string(to_view(header.value))});
  }
  if (request.authority.len != 0) {
    headers.push_back({"host", std::string(to_view(request.authority))});
  }
  return headers;
}

/// `version` holds the major version in its upper byte and the minor version in its lower byte.
std::string describe_protocol(int version) {
  const auto digits = static_cast<unsigned>(version);
  return "HTTP/" + std::to_string(digits >> 8U) + "." + std::to_string(digits & 0xffU);
}

/// Bytes that a request holds once it is copied, with what its handler keeps for it.
std::size_t held_by(const h2o_req_t& source) {
  std::size_t bytes = kHandledRequestBytes + source.input.path.len + source.entity.len;
  for (std::size_t i = 0; i != source.headers.size; ++i) {
    bytes += source.headers.entries[i].name->len + source.headers.entries[i].value.len;
  }
  return bytes;
}

/// Returns the whole pages of a body that was copied to the system; h2o keeps its buffer until the
/// response has been sent, but does not read it. Returns the number of bytes released.
std::size_t release_pages(const h2o_iovec_t& body) {
  static const auto page = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  const std::size_t before = (page - reinterpret_cast<std::uintptr_t>(body.base) % page) % page;
  if (body.len < kMinReleasedBytes || body.len < before + page) {
    return 0;
  }
  const std::size_t bytes = (body.len - before) / page * page;
  return ::madvise(body.base + before, bytes, MADV_DONTNEED) == 0 ? bytes : 0;
}

Request copy_request(const h2o_req_t& source, const std::shared_ptr<MemoryAccount>& account,
                     std::size_t charged) {
  Request request;
  request.method = to_view(source.input.method);
  const std::string_view path = to_view(source.input.path);
  const std::size_t query_at = std::min(source.input.query_at, path.size());
  request.path = path.substr(0, query_at);
  if (query_at < path.size()) {
    request.query = path.substr(query_at + 1);
  }
  request.headers = copy_headers(source);
  request.protocol = describe_protocol(source.version);
  request.body =
      Body(std::string(to_view(source.entity)),
           std::make_unique<MemoryCharge>(account, MemoryAccount::Kind::kAccepted, charged));
  if (h2o_socket_t* socket = source.conn->callbacks->get_socket(source.conn)) {
    request.read_delay = time_since_last_input(h2o_socket_get_fd(socket));
  }
  return request;
}

/// Whether a request is in progress on its connection. h2o keeps the bytes of an HTTP/1.1 request
/// in the connection's input buffer until its response is written; for HTTP/2 it lists open streams
/// only.
bool is_in_progress(const h2o_req_t& request) {
  if (request.version >= kHttp2Version) {
    return true;
  }
  const h2o_socket_t* socket = request.conn->callbacks->get_socket(request.conn);
  return socket != nullptr && socket->input->size != 0;
}

int count_in_progress(h2o_req_t* request, void* count) {
  *static_cast<std::size_t*>(count) += is_in_progress(*request) ? 1 : 0;
  return 0;
}

void unlink_entries(h2o_timeout_t& timeout) {
  while (h2o_linklist_is_empty(&timeout._entries) == 0) {
    h2o_linklist_t* entry = timeout._entries.next;
    if (entry->next == nullptr || entry->prev == nullptr) {
      return;  // Defensive check: a linked entry always has both pointers.
    }
    h2o_linklist_unlink(entry);
  }
}

}  // namespace

struct Server::State {
  /// h2o handler with a pointer to its server.
  struct HandlerSlot {
    h2o_handler_t super;
    State* owner;
  };

  EventLoop& loop;
  ServerSettings settings;
  std::unique_ptr<CallerGuard> own_guard;
  CallerGuard::State& guard;
  std::vector<Route> routes;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  TlsContext tls;
  h2o_socket_t* listener = nullptr;
  Endpoint bound;
  Timer accept_pause;
  /// Limits on what callers send. They may be below those in force for a while.
  struct Limits {
    std::uint64_t body_bytes = 0;
    std::uint64_t idle_milliseconds = 0;

    bool operator==(const Limits&) const = default;
  };
  Limits limits;
  Timer decrease_timer;

  State(EventLoop& event_loop, ServerSettings server_settings)
      : loop(event_loop),
        settings(std::move(server_settings)),
        own_guard(settings.guard == nullptr ? std::make_unique<CallerGuard>(loop, CallerLimits())
                                            : nullptr),
        guard((own_guard ? own_guard.get() : settings.guard)->state()),
        accept_pause(event_loop),
        limits{settings.largest_body_bytes, to_milliseconds(settings.idle_timeout)},
        decrease_timer(event_loop) {
    h2o_config_init(&config);
    config.server_name = to_iovec("ochrespring");
    config.max_request_entity_size = settings.largest_body_bytes;
    config.http1.req_timeout = to_milliseconds(settings.idle_timeout);
    config.http2.idle_timeout = to_milliseconds(settings.idle_timeout);
    config.http2.max_concurrent_requests_per_connection = kHttp2RequestsPerConnection;
    h2o_hostconf_t* host = h2o_config_register_host(&config, to_iovec("default"), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* slot = reinterpret_cast<HandlerSlot*>(h2o_create_handler(path, sizeof(HandlerSlot)));
    slot->super.on_req = on_request;
    slot->owner = this;
    h2o_context_init(&context, loop.native(), &config);
    accept.ctx = &context;
    accept.hosts = config.hosts;
  }

  ~State() {
    close_listener();
    close_connections();
    h2o_context_dispose(&context);
    h2o_config_dispose(&config);
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  /// A request that is being read began under the former limits. So a decrease waits until it has
  /// been read or has timed out.
  void set_limits(const Limits& wanted) {
    if (wanted == limits) {
      return;
    }
    limits = wanted;
    std::uint64_t& idle_milliseconds = context.http1.req_timeout.timeout;
    idle_milliseconds = std::max(idle_milliseconds, limits.idle_milliseconds);
    config.max_request_entity_size =
        std::max<std::size_t>(config.max_request_entity_size, limits.body_bytes);
    decrease_timer.arm(std::chrono::milliseconds(idle_milliseconds), [this] {
      context.http1.req_timeout.timeout = limits.idle_milliseconds;
      config.max_request_entity_size = limits.body_bytes;
    });
  }

  static int on_request(h2o_handler_t* handler, h2o_req_t* request) {
    reinterpret_cast<HandlerSlot*>(handler)->owner->dispatch(request);
    return 0;
  }

  void dispatch(h2o_req_t* h2o_request) {
    auto response = std::make_shared<ResponseStream>(loop, guard.account, h2o_request);
    const std::size_t bytes = held_by(*h2o_request);
    if (!guard.admits(bytes)) {
      response->attach(0);
      response->respond(503, {{"retry-after", std::to_string(guard.retry_after())}}, "");
      return;
    }
    Request request = copy_request(*h2o_request, guard.account, bytes);
    response->attach(release_pages(h2o_request->entity));
    const auto route = std::find_if(routes.begin(), routes.end(), [&](const Route& candidate) {
      return request.path.starts_with(candidate.prefix);
    });
    if (route == routes.end()) {
      response->respond(404, {{"content-type", "text/plain"}}, "not found\n");
      return;
    }
    route->handler(std::move(request), std::move(response));
  }

  static void on_accept(h2o_socket_t* listener, const char* error) {
    if (error == nullptr) {
      static_cast<State*>(listener->data)->accept_connections();
    }
  }

  /// Returns the number of accepted connections.
  int accept_connections() {
    for (int accepted = 0; accepted != kAcceptsPerIteration; ++accepted) {
      errno = 0;
      h2o_socket_t* connection = h2o_evloop_socket_accept(listener);
      if (connection == nullptr) {
        if (errno == EMFILE || errno == ENFILE) {
          pause_accepting();
        }
        return accepted;
      }
      if (!guard.make_room()) {
        h2o_socket_close(connection);
        continue;
      }
      GuardedConnection& guarded = guard.adopt(connection);
      h2o_accept(&accept, connection);
      guarded.capture();
    }
    return kAcceptsPerIteration;
  }

  void pause_accepting() {
    h2o_socket_read_stop(listener);
    accept_pause.arm(kAcceptPause, [this] {
      if (listener != nullptr) {
        h2o_socket_read_start(listener, on_accept);
      }
    });
  }

  void stop_accepting() {
    while (listener != nullptr && accept_connections() == kAcceptsPerIteration) {
    }
    close_listener();
  }

  void close_listener() {
    accept_pause.disarm();
    if (listener == nullptr) {
      return;
    }
    h2o_socket_close(listener);
    listener = nullptr;
  }

  static int close_request(h2o_req_t* request, void* /*data*/) {
    shut_down_connection(*request);
    return 0;
  }

  /// Closes the open connections and lets h2o free them; the loop no longer runs by itself.
  void close_connections() {
    h2o_context_request_shutdown(&context);
    config.http1.callbacks.foreach_request(&context, close_request, nullptr);
    config.http2.callbacks.foreach_request(&context, close_request, nullptr);
    for (int i = 0; i != kClosingIterations; ++i) {
      h2o_evloop_run(loop.native(), 0);
    }
    // Pending timeouts (the second GOAWAY of h2o, idle HTTP/2 connections) are unlinked, because
    // h2o_context_dispose() asserts that these lists are empty.
    for (h2o_timeout_t* timeout : {&context.one_sec_timeout, &context.http1.req_timeout,
                                   &context.http2.idle_timeout, &context.handshake_timeout}) {
      unlink_entries(*timeout);
    }
  }
};

Server::Server(EventLoop& loop, ServerSettings settings)
    : state_(std::make_unique<State>(loop, std::move(settings))) {}

Server::~Server() = default;

void Server::route(const std::string& prefix, Handler handler) {
  const auto shorter = [&](const Route& route) { return route.prefix.size() < prefix.size(); };
  auto& routes = state_->routes;
  routes.insert(std::find_if(routes.begin(), routes.end(), shorter), {prefix, std::move(handler)});
}

Result<void, HttpError> Server::listen() {
  if (state_->settings.tls) {
    BOOST_OUTCOME_TRY(tls, load_server_tls(*state_->settings.tls));
    state_->tls = std::move(tls);
    state_->accept.ssl_ctx = state_->tls.get();
  }
  BOOST_OUTCOME_TRY(descriptor,
                    open_listener(state_->settings.listen, state_->settings.reuse_port));
  state_->bound = bound_endpoint(descriptor);
  state_->listener =
      h2o_evloop_socket_create(state_->loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
  state_->listener->data = state_.get();
  h2o_socket_read_start(state_->listener, State::on_accept);
  return outcome::success();
}

Endpoint Server::bound() const {
  return state_->bound;
}

void Server::announce_close() {
  h2o_context_request_shutdown(&state_->context);
}

void Server::set_largest_body(std::uint64_t bytes) {
  state_->set_limits({bytes, state_->limits.idle_milliseconds});
}

void Server::set_idle_timeout(Duration timeout) {
  state_->set_limits({state_->limits.body_bytes, to_milliseconds(timeout)});
}

void Server::stop_accepting() {
  state_->stop_accepting();
  h2o_context_request_shutdown(&state_->context);
}

std::size_t Server::requests_in_progress() const {
  std::size_t count = 0;
  h2o_globalconf_t& config = state_->config;
  config.http1.callbacks.foreach_request(&state_->context, count_in_progress, &count);
  config.http2.callbacks.foreach_request(&state_->context, count_in_progress, &count);
  return count;
}

Result<void, HttpError> Server::reload_tls() {
  if (!state_->settings.tls) {
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(fresh, load_server_tls(*state_->settings.tls));
  state_->tls = std::move(fresh);
  state_->accept.ssl_ctx = state_->tls.get();
  return outcome::success();
}

}  // namespace ochrespring::http
