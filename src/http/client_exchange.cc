#include "http/client_exchange.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "http/connection_relay.h"
#include "http/socket_address.h"

namespace ochrespring::http {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Idle lifetime if the peer does not announce one; shorter than that of common servers.
constexpr Duration kDefaultKeepAlive = seconds(4);
/// Subtracted from the lifetime that the peer announces, so that the client closes first.
constexpr Duration kKeepAliveMargin = milliseconds(700);
constexpr std::size_t kReadBytes = 32U << 10U;
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
/// Maximum number of heads before that of the response: interim (1xx) ones, and those of responses
/// to other requests.
constexpr std::uint32_t kMaxSurplusHeads = 64;
/// Maximum number of bytes that are read and not passed on, whatever they are: heads, responses to
/// other requests, framing, trailers. Each byte that is passed on may have a chunk of its own.
constexpr std::size_t kMaxOverheadBytes = 8U << 20U;
constexpr std::size_t kMaxFramingPerByte = 16;

std::string make_head(const ClientRequest& request) {
  std::string head;
  head.reserve(512);
  head.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\n");
  if (find_header(request.headers, "host").empty()) {
    head.append("host: ").append(request.endpoint.value()).append("\r\n");
  }
  for (const Header& header : request.headers) {
    head.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    head.append("content-length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  return head.append("\r\n");
}

bool contains_ignore_case(std::string_view text, std::string_view part) {
  const auto same = [](unsigned char left, unsigned char right) {
    return std::tolower(left) == std::tolower(right);
  };
  return std::search(text.begin(), text.end(), part.begin(), part.end(), same) != text.end();
}

/// Idle lifetime from `Keep-Alive: timeout=N`, or the default.
Duration keep_alive(std::string_view text) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = text.find(kName);
  if (at == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  const std::string_view digits = text.substr(at + kName.size());
  int value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return std::max<Duration>(seconds(value) - kKeepAliveMargin, Duration::zero());
}

std::optional<std::size_t> parse_length(std::string_view text) {
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  const bool read = error == std::errc() && end == text.data() + text.size();
  return read ? std::optional(length) : std::nullopt;
}

/// Returns the length of the body that the head states. Empty if it states none, if it states
/// several, or if one cannot be read.
std::optional<std::size_t> stated_length(const std::vector<Header>& headers) {
  std::optional<std::size_t> stated;
  for (const Header& header : headers) {
    if (header.name != "content-length") {
      continue;
    }
    const auto length = parse_length(header.value);
    if (!length || (stated && *stated != *length)) {
      return std::nullopt;
    }
    stated = length;
  }
  return stated;
}

bool has_header(const std::vector<Header>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const Header& header) { return header.name == name; });
}

bool is_chunked(const std::vector<Header>& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const Header& header) {
    return header.name == "transfer-encoding" && contains_ignore_case(header.value, "chunked");
  });
}

bool has_no_body(std::uint16_t status, const std::string& method) {
  return status == 204 || status == 304 || method == "HEAD";
}

}  // namespace

ClientExchange::ClientExchange(EventLoop& loop, ConnectionPool& pool, ClientStatistics& statistics,
                               ClientRequest request, ResponseObserver& observer)
    : loop_(loop),
      pool_(pool),
      statistics_(statistics),
      request_(std::move(request)),
      head_(make_head(request_)),
      observer_(&observer),
      timeout_(loop),
      connect_timeout_(loop) {}

void ClientExchange::start() {
  self_ = shared_from_this();
  timeout_.arm(request_.timeout, [this] {
    fail_with(sent_ ? HttpErrc::kTimeout : HttpErrc::kConnect,
              sent_ ? "no complete response before the timeout"
                    : "connection not established before the timeout");
  });
  if (!request_.fresh_connection) {
    take_pooled_connection();
  }
  if (connection_) {
    reused_ = true;
    ++statistics_.connections_reused;
    connection_->set_listener(this);
    loop_.post([self = self_] { self->send_request(); });
    return;
  }
  const auto opened = open_connection();
  if (!opened) {
    fail_later(opened.error().code, opened.error().message);
    return;
  }
  ++statistics_.connections_opened;
  connection_->set_listener(this);
  connect_timeout_.arm(request_.connect_timeout, [this] {
    fail_with(request_.relay ? HttpErrc::kRelayFailed : HttpErrc::kConnect,
              "connection not established before the timeout");
  });
}

void ClientExchange::take_pooled_connection() {
  if (!request_.relay) {
    connection_ = pool_.take(request_.endpoint.value());
    return;
  }
  ConnectionPool::Kept kept =
      pool_.take_relayed(request_.endpoint.value(), request_.relay->accepts);
  connection_ = std::move(kept.connection);
  if (connection_) {
    request_.relay->address = kept.relay;
  }
}

Result<void, HttpError> ClientExchange::open_connection() {
  BOOST_OUTCOME_TRY(
      address, http::parse_endpoint(request_.relay ? request_.relay->address : request_.endpoint));
  BOOST_OUTCOME_TRY(opened, TcpConnection::open(loop_, address, kMaxUnacknowledgedTime));
  connection_ = std::move(opened);
  return outcome::success();
}

void ClientExchange::fail_later(HttpErrc code, std::string message) {
  loop_.post([self = self_, code, text = std::move(message)]() mutable {
    self->fail_with(code, std::move(text));
  });
}

void ClientExchange::cancel() {
  observer_ = nullptr;
  timeout_.disarm();
  connect_timeout_.disarm();
  abandon_connection();
  self_.reset();
}

void ClientExchange::abandon_connection() {
  if (connection_ && sent_) {
    connection_->discard_unacknowledged();
  }
  connection_.reset();
}

void ClientExchange::set_reading(bool reading) {
  reading_ = reading;
  if (connection_ && head_received_) {
    connection_->set_reading(reading);
  }
}

void ClientExchange::on_connected(bool success) {
  if (!success) {
    const Endpoint& peer = request_.relay ? request_.relay->address : request_.endpoint;
    const HttpErrc direct = connection_->was_refused() ? HttpErrc::kRefused : HttpErrc::kConnect;
    fail_with(request_.relay ? HttpErrc::kRelayFailed : direct,
              "connect to " + peer.value() + " failed");
    return;
  }
  if (request_.relay) {
    request_relaying();
    return;
  }
  connect_timeout_.disarm();
  send_request();
}

void ClientExchange::request_relaying() {
  const std::string preface = make_relay_preface(request_.endpoint);
  const IoResult result = connection_->write(preface, {});
  if (result.status != IoStatus::kDone || result.bytes != preface.size()) {
    fail_with(HttpErrc::kRelayFailed, "the relay does not accept the preface");
    return;
  }
  awaiting_relay_ = true;
  connection_->set_reading(true);
}

void ClientExchange::read_relay_status() {
  char status = 0;
  const IoResult result = connection_->read(&status, 1);
  if (result.status == IoStatus::kAgain) {
    return;
  }
  awaiting_relay_ = false;
  if (result.status != IoStatus::kDone) {
    fail_with(HttpErrc::kRelayFailed, "the relay closed the connection");
    return;
  }
  if (status == static_cast<char>(RelayStatus::kUnreachable)) {
    fail_with(HttpErrc::kConnect, "the relay cannot connect either");
    return;
  }
  if (status != static_cast<char>(RelayStatus::kConnected)) {
    fail_with(HttpErrc::kRelayRefused, "the relay refused");
    return;
  }
  connect_timeout_.disarm();
  send_request();
}

void ClientExchange::send_request() {
  if (observer_ == nullptr || !connection_) {
    return;
  }
  if (system_clock().now() >= request_.send_before) {
    fail_with(HttpErrc::kExpired, "send deadline passed before the connection was ready");
    return;
  }
  if (request_.may_send && !request_.may_send()) {
    fail_with(HttpErrc::kWithdrawn, "request withdrawn before it was sent");
    return;
  }
  connection_->set_reading(true);
  write_more();
}

void ClientExchange::write_more() {
  while (!all_written()) {
    const std::string_view head = std::string_view(head_).substr(std::min(written_, head_.size()));
    const std::size_t body_at = written_ - std::min(written_, head_.size());
    const IoResult result = connection_->write(head, request_.body.view().substr(body_at));
    if (result.status == IoStatus::kAgain) {
      connection_->await_writable();
      return;
    }
    if (result.status != IoStatus::kDone) {
      // The response may still be readable; the read path reports the end.
      return;
    }
    sent_ = true;
    written_ += result.bytes;
  }
}

void ClientExchange::on_writable() {
  write_more();
}

void ClientExchange::on_readable() {
  if (awaiting_relay_) {
    read_relay_status();
    return;
  }
  std::array<char, kReadBytes> buffer;
  const IoResult result = connection_->read(buffer.data(), buffer.size());
  if (result.status == IoStatus::kAgain) {
    return;
  }
  const std::shared_ptr<ClientExchange> keep = shared_from_this();
  if (result.status != IoStatus::kDone) {
    on_peer_closed(result.status);
    return;
  }
  received_ += result.bytes;
  input_.append(buffer.data(), result.bytes);
  process_input();
  check_overhead();
}

/// Fails the exchange if the peer sends more than carries the response.
void ClientExchange::check_overhead() {
  if (observer_ == nullptr || !connection_) {
    return;
  }
  const std::size_t overhead = received_ - delivered_ - input_.size();
  if (overhead > kMaxOverheadBytes &&
      overhead - kMaxOverheadBytes > kMaxFramingPerByte * delivered_) {
    const bool in_response = head_received_ && !skipping_;
    fail_with(in_response ? HttpErrc::kTruncated : HttpErrc::kReset,
              "too many bytes that are not part of the response");
  }
}

/// Returns false if the exchange has failed because there are too many.
bool ClientExchange::count_surplus_head() {
  if (++surplus_heads_ <= kMaxSurplusHeads) {
    return true;
  }
  fail_with(HttpErrc::kReset, "too many heads before that of the response");
  return false;
}

void ClientExchange::process_input() {
  if (!head_received_ && !process_head()) {
    return;
  }
  if (body_end_ == BodyEnd::kChunked) {
    process_chunks();
  } else {
    process_body();
  }
}

/// Returns whether the head is complete and the exchange still runs.
bool ClientExchange::process_head() {
  while (!head_received_) {
    const ParseOutcome outcome = parse_head(input_, parsed_);
    if (outcome == ParseOutcome::kIncomplete && input_.size() <= kMaxHeadBytes) {
      return false;
    }
    if (outcome != ParseOutcome::kComplete) {
      fail_with(HttpErrc::kReset, "malformed or oversized response head");
      return false;
    }
    input_.erase(0, parsed_.length);
    head_received_ = parsed_.head.status >= 200;
    interim_received_ = !head_received_;
    if (!head_received_ && !count_surplus_head()) {
      return false;
    }
  }
  determine_framing();
  skipping_ = is_response_to_other_request();
  if (skipping_ && !count_surplus_head()) {
    return false;
  }
  if (!skipping_) {
    observer_->on_head(parsed_.head);
    if (observer_ == nullptr) {
      return false;
    }
    connection_->set_reading(reading_);
  }
  if (body_end_ == BodyEnd::kNone) {
    on_response_end(std::exchange(input_, {}));
    return false;
  }
  return true;
}

/// A reused connection may still bring more for an earlier request, which need not say so. On a new
/// one nothing else can have been asked for.
bool ClientExchange::is_response_to_other_request() const {
  if (!request_.echo) {
    return false;
  }
  const std::string_view value = find_header(parsed_.head.headers, request_.echo->name);
  return value.empty() ? reused_ && !request_.echo->value.empty() : value != request_.echo->value;
}

/// Whether part of a head, or an interim head, has arrived that does not belong to another request.
bool ClientExchange::has_begun_head() const {
  return !head_received_ && (interim_received_ || !input_.empty());
}

/// Called when the current response is complete; `trailing` holds the bytes after it.
void ClientExchange::on_response_end(std::string trailing) {
  if (!skipping_) {
    complete(!trailing.empty());
    return;
  }
  skipped_response_ = true;
  skipping_ = false;
  head_received_ = false;
  interim_received_ = false;
  chunks_ = ChunkDecoder();
  body_end_ = BodyEnd::kClose;
  input_ = std::move(trailing);
  if (!input_.empty()) {
    process_input();
  }
}

void ClientExchange::determine_framing() {
  const std::vector<Header>& headers = parsed_.head.headers;
  const bool encoded = has_header(headers, "transfer-encoding");
  const auto length = stated_length(headers);
  if (has_no_body(parsed_.head.status, request_.method)) {
    body_end_ = BodyEnd::kNone;
  } else if (is_chunked(headers)) {
    body_end_ = BodyEnd::kChunked;
  } else if (length && !encoded) {
    body_end_ = BodyEnd::kLength;
    body_left_ = *length;
  }
  // A close proves nothing if the head states a framing that the client cannot read.
  parsed_.head.ends_with_connection =
      body_end_ == BodyEnd::kClose && !encoded && !has_header(headers, "content-length");
  const bool closes = contains_ignore_case(find_header(headers, "connection"), "close") ||
                      parsed_.minor_version == 0 || body_end_ == BodyEnd::kClose;
  idle_lifetime_ = closes || request_.fresh_connection
                       ? Duration::zero()
                       : keep_alive(find_header(headers, "keep-alive"));
}

void ClientExchange::process_body() {
  std::string bytes;
  bytes.swap(input_);
  if (body_end_ == BodyEnd::kClose) {
    deliver(bytes);
    return;
  }
  const std::size_t due = std::min(bytes.size(), body_left_);
  body_left_ -= due;
  deliver(std::string_view(bytes).substr(0, due));
  if (observer_ != nullptr && body_left_ == 0) {
    on_response_end(bytes.substr(due));
  }
}

void ClientExchange::process_chunks() {
  std::string bytes;
  bytes.swap(input_);
  const ChunkStep step = chunks_.decode(bytes.data(), bytes.size());
  if (step.outcome == ParseOutcome::kMalformed) {
    fail_with(HttpErrc::kTruncated, "malformed chunked encoding in the response");
    return;
  }
  deliver(std::string_view(bytes).substr(0, step.decoded));
  if (observer_ != nullptr && step.outcome == ParseOutcome::kComplete) {
    on_response_end(bytes.substr(step.decoded, step.trailing));
  }
}

void ClientExchange::deliver(std::string_view bytes) {
  if (!bytes.empty() && observer_ != nullptr && !skipping_) {
    delivered_ += bytes.size();
    observer_->on_body(bytes);
  }
}

void ClientExchange::on_peer_closed(IoStatus status) {
  if (status == IoStatus::kUnresponsive) {
    fail_with(HttpErrc::kTimeout, "peer does not acknowledge data");
    return;
  }
  if (!head_received_ || skipping_) {
    if (has_begun_head()) {
      fail_with(HttpErrc::kReset, "connection closed inside the response head");
    } else {
      fail_with(reused_ ? HttpErrc::kStaleConnection : HttpErrc::kReset,
                "connection closed before a response");
    }
    return;
  }
  const bool whole = parsed_.head.ends_with_connection && status == IoStatus::kClosed &&
                     request_.close_ends_answer;
  if (whole) {
    complete(false);
    return;
  }
  fail_with(HttpErrc::kTruncated, "connection closed before the end of the response");
}

void ClientExchange::complete(bool trailing) {
  const std::shared_ptr<ClientExchange> keep = std::move(self_);
  timeout_.disarm();
  return_to_pool(trailing);
  if (ResponseObserver* observer = std::exchange(observer_, nullptr)) {
    observer->on_complete();
  }
}

/// Closes connections that cannot be reused: unexpected bytes after the response belong to no
/// request, and a partially sent request would be continued by the next one.
void ClientExchange::return_to_pool(bool trailing) {
  std::unique_ptr<TcpConnection> connection = std::move(connection_);
  if (!connection || trailing || skipped_response_ || !all_written() ||
      idle_lifetime_ == Duration::zero()) {
    return;
  }
  const Endpoint relay = request_.relay ? request_.relay->address : Endpoint();
  pool_.put(request_.endpoint.value(), {std::move(connection), relay}, idle_lifetime_,
            request_.max_idle_connections);
}

void ClientExchange::fail_with(HttpErrc code, std::string message) {
  const std::shared_ptr<ClientExchange> keep = std::move(self_);
  timeout_.disarm();
  connect_timeout_.disarm();
  abandon_connection();
  if (ResponseObserver* observer = std::exchange(observer_, nullptr)) {
    observer->on_failure({code, std::move(message)}, sent_);
  }
}

}  // namespace ochrespring::http
