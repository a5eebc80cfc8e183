#include "http/response_stream.h"

#include <sys/socket.h>

#include <charconv>
#include <chrono>
#include <utility>

#include "http/guarded_connection.h"
#include "http/tcp_state.h"

namespace ochrespring::http {

namespace {

/// Interval at which a caller with pipelined input is checked for disconnection.
constexpr Duration kPipelinedCheckPeriod = std::chrono::milliseconds(100);
constexpr int kHttp11Version = 0x101;
constexpr std::string_view kContentLength = "content-length";

std::size_t parse_length(std::string_view text) {
  std::size_t length = SIZE_MAX;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

void copy_head(const ResponseHead& head, h2o_req_t& request) {
  request.res.status = head.status;
  request.res.reason = "";
  for (const Header& header : head.headers) {
    if (header.name == kContentLength) {
      request.res.content_length = parse_length(header.value);
      continue;
    }
    const h2o_iovec_t name = h2o_strdup(&request.pool, header.name.data(), header.name.size());
    const h2o_iovec_t value = h2o_strdup(&request.pool, header.value.data(), header.value.size());
    h2o_add_header_by_str(&request.pool, &request.res.headers, name.base, name.len, 1, nullptr,
                          value.base, value.len);
  }
}

}  // namespace

void shut_down_connection(const h2o_req_t& request) {
  h2o_socket_t* socket = request.conn->callbacks->get_socket(request.conn);
  if (socket == nullptr) {
    return;
  }
  const int descriptor = h2o_socket_get_fd(socket);
  // The kernel would deliver the end that a shutdown sends behind the data that it still holds, and
  // a caller older than HTTP/1.1 takes that for the end of the response.
  const bool was_reset = request.version < kHttp11Version && reset_connection(descriptor);
  if (!was_reset) {
    ::shutdown(descriptor, SHUT_RDWR);
  }
}

void ResponseWriter::respond(std::uint16_t status, std::vector<Header> headers,
                             std::string_view body) {
  headers.push_back({std::string(kContentLength), std::to_string(body.size())});
  send_head({status, std::move(headers)});
  send_body(body);
  finish();
}

ResponseStream::ResponseStream(EventLoop& loop, std::shared_ptr<MemoryAccount> account,
                               h2o_req_t* request)
    : loop_(loop),
      charge_(std::move(account), MemoryAccount::Kind::kAnswers, 0),
      request_(request),
      pipelined_check_(loop) {
  generator_.super.proceed = on_proceed;
  generator_.super.stop = nullptr;
  generator_.owner = this;
}

ResponseStream::~ResponseStream() = default;

void ResponseStream::attach(std::size_t released) {
  self_ = shared_from_this();
  if (GuardedConnection* guarded = connection()) {
    guarded->note_handled(*this, request_->entity.len, released);
  }
  auto* slot = static_cast<RequestSlot*>(
      h2o_mem_alloc_shared(&request_->pool, sizeof(RequestSlot), on_disposed));
  slot->stream = this;
  watch_for_disconnect();
}

void ResponseStream::on_disposed(void* slot) {
  static_cast<RequestSlot*>(slot)->stream->on_request_disposed();
}

void ResponseStream::on_request_disposed() {
  stop_watching();
  if (GuardedConnection* guarded = connection()) {
    guarded->note_ended(*this);
  }
  const bool whole = final_sent_ && end_ == End::kFinished && !writing_;
  if (whole) {
    prepare_orderly_close();
  }
  request_ = nullptr;
  const std::shared_ptr<ResponseStream> keep = std::move(self_);
  in_flight_.clear();
  queued_.clear();
  note_buffered();
  if (!whole && end_ == End::kNone) {
    on_caller_disconnected();
  }
  on_closed_ = nullptr;
  on_drained_ = nullptr;
}

/// Makes the close of an HTTP/1 connection after this response orderly, if it closes.
void ResponseStream::prepare_orderly_close() {
  h2o_socket_t* socket = http1_socket();
  if (socket == nullptr) {
    return;
  }
  const int descriptor = h2o_socket_get_fd(socket);
  if (close_ends_response()) {
    clear_reset_on_close(descriptor);
  }
  if (request_->http1_is_persistent == 0) {
    discard_input(descriptor);
  }
}

void ResponseStream::on_caller_disconnected() {
  caller_disconnected_ = true;
  if (const auto callback = std::exchange(on_closed_, nullptr)) {
    callback();
  }
}

bool ResponseStream::poll_closed() const {
  if (closed()) {
    return true;
  }
  h2o_socket_t* socket = request_->conn->callbacks->get_socket(request_->conn);
  return socket != nullptr && has_peer_closed(h2o_socket_get_fd(socket));
}

void ResponseStream::send_head(const ResponseHead& head) {
  if (closed() || head_sent_) {
    return;
  }
  head_sent_ = true;
  copy_head(head, *request_);
  start_response();
  schedule_pump();
}

/// Until an HTTP/1.0 response has been sent to its end, each close of the connection is a reset,
/// also one by the kernel when the process ends.
void ResponseStream::start_response() {
  if (close_ends_response()) {
    set_reset_on_close(h2o_socket_get_fd(http1_socket()));
    if (request_->res.content_length == SIZE_MAX) {
      // Without chunks nothing else ends the body, also if the caller asked to keep the connection.
      request_->http1_is_persistent = 0;
    }
  }
  h2o_start_response(request_, &generator_.super);
}

void ResponseStream::send_body(std::string_view bytes) {
  if (closed() || end_ != End::kNone || bytes.empty()) {
    return;
  }
  if (buffered_bytes() == 0) {
    taken_at_ = system_clock().now();
  }
  queued_.append(bytes);
  note_buffered();
  schedule_pump();
}

void ResponseStream::finish() {
  if (end_ != End::kNone) {
    return;
  }
  if (closed() || !head_sent_) {
    abort();
    return;
  }
  end_ = End::kFinished;
  schedule_pump();
}

void ResponseStream::abort() {
  if (end_ != End::kNone) {
    return;
  }
  end_ = End::kAborted;
  if (writing_) {
    queued_.clear();
    note_buffered();
    reset_blocked_connection();
  }
  schedule_pump();
}

void ResponseStream::schedule_pump() {
  if (pump_scheduled_ || request_ == nullptr) {
    return;
  }
  pump_scheduled_ = true;
  loop_.post([self = shared_from_this()] {
    self->pump_scheduled_ = false;
    self->pump();
  });
}

void ResponseStream::pump() {
  if (request_ == nullptr || writing_ || final_sent_) {
    return;
  }
  if (end_ == End::kAborted && head_sent_ && !queued_.empty()) {
    // Without a pending write, data accepted before the abort is still sent to the caller.
    in_flight_.swap(queued_);
    send(H2O_SEND_STATE_IN_PROGRESS);
    return;
  }
  if (end_ == End::kAborted) {
    if (!head_sent_) {
      head_sent_ = true;
      request_->res.status = 500;
      request_->res.reason = "";
      start_response();
    }
    // h2o would mark a broken HTTP/1.1 response by an invalid chunk; the caller must receive
    // complete chunks followed by the end of the connection.
    if (http1_socket() != nullptr && !close_ends_response()) {
      shut_down_connection(*request_);
    }
    send(H2O_SEND_STATE_ERROR);
    return;
  }
  if (!head_sent_) {
    return;
  }
  in_flight_.swap(queued_);
  send(end_ == End::kFinished ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void ResponseStream::send(h2o_send_state_t state) {
  final_sent_ = !h2o_send_state_is_in_progress(state);
  writing_ = !final_sent_;
  if (final_sent_) {
    stop_watching();
  }
  h2o_iovec_t bytes = to_iovec(in_flight_);
  h2o_send(request_, &bytes, in_flight_.empty() ? 0 : 1, state);
  if (GuardedConnection* guarded = connection()) {
    guarded->capture();
  }
}

void ResponseStream::on_proceed(h2o_generator_t* generator, h2o_req_t* /*request*/) {
  ResponseStream& stream = *reinterpret_cast<Generator*>(generator)->owner;
  stream.writing_ = false;
  stream.in_flight_.clear();
  stream.taken_at_ = system_clock().now();
  stream.note_buffered();
  if (!stream.queued_.empty() || stream.end_ != End::kNone) {
    stream.schedule_pump();
    return;
  }
  stream.in_flight_.shrink_to_fit();
  stream.queued_.shrink_to_fit();
  if (stream.on_drained_) {
    stream.on_drained_();
  }
}

/// Returns the connection while the request exists.
GuardedConnection* ResponseStream::connection() const {
  h2o_socket_t* socket =
      request_ == nullptr ? nullptr : request_->conn->callbacks->get_socket(request_->conn);
  return socket == nullptr ? nullptr : &GuardedConnection::of(socket);
}

void ResponseStream::note_buffered() {
  charge_.resize(abandoned_ ? 0 : buffered_bytes());
}

Occupancy ResponseStream::unread() const {
  const Duration stall = system_clock().now() - taken_at_;
  return {buffered_bytes(), stall, stall};
}

bool ResponseStream::is_stalled() const {
  const Occupancy left = unread();
  return !abandoned_ && left.bytes != 0 && left.stall >= kMaxReadingStall;
}

void ResponseStream::abandon() {
  abandoned_ = true;
  note_buffered();
  if (GuardedConnection* guarded = connection()) {
    guarded->reset();
  }
}

/// Returns the connection's socket for an HTTP/1 request, else null.
h2o_socket_t* ResponseStream::http1_socket() const {
  if (request_ == nullptr || request_->version >= kHttp2Version) {
    return nullptr;
  }
  return request_->conn->callbacks->get_socket(request_->conn);
}

/// h2o does not read an HTTP/1.1 connection while it is answering a request, so it does not notice
/// that the caller disconnects. The socket is polled without reading, which leaves pipelined
/// requests in place.
void ResponseStream::watch_for_disconnect() {
  h2o_socket_t* socket = http1_socket();
  if (socket == nullptr || h2o_socket_is_reading(socket) != 0) {
    return;
  }
  watching_ = true;
  GuardedConnection::of(socket).watcher = this;
  h2o_socket_dont_read(socket, 1);
  h2o_socket_read_start(socket, on_readable);
}

void ResponseStream::on_readable(h2o_socket_t* socket, const char* /*error*/) {
  if (ResponseStream* stream = GuardedConnection::of(socket).watcher) {
    stream->check_for_disconnect();
  }
}

void ResponseStream::check_for_disconnect() {
  h2o_socket_t* socket = http1_socket();
  if (socket == nullptr) {
    return;
  }
  if (watching_) {
    stop_watching();
  }
  if (!has_peer_closed(h2o_socket_get_fd(socket))) {
    // Pipelined input is pending; polling for readability would busy-loop.
    pipelined_check_.arm(kPipelinedCheckPeriod, [this] { check_for_disconnect(); });
    return;
  }
  if (end_ == End::kNone) {
    on_caller_disconnected();
  }
  if (end_ == End::kNone) {
    abort();
  }
}

void ResponseStream::stop_watching() {
  pipelined_check_.disarm();
  if (!std::exchange(watching_, false)) {
    return;
  }
  h2o_socket_t* socket = http1_socket();
  if (socket == nullptr) {
    return;
  }
  GuardedConnection::of(socket).watcher = nullptr;
  h2o_socket_read_stop(socket);
  h2o_socket_dont_read(socket, 0);
}

/// Whether the caller takes an orderly close for the end of the response, as in HTTP/1.0.
bool ResponseStream::close_ends_response() const {
  return http1_socket() != nullptr && request_->version < kHttp11Version;
}

/// Resets an HTTP/1 connection whose caller does not read the bytes being written.
void ResponseStream::reset_blocked_connection() {
  if (h2o_socket_t* socket = http1_socket()) {
    set_reset_on_close(h2o_socket_get_fd(socket));
    shut_down_connection(*request_);
  }
}

}  // namespace ochrespring::http
