// One request and its response on one outgoing connection. Private to src/http.
#pragma once

#include <memory>
#include <string>

#include "base/timer.h"
#include "http/client.h"
#include "http/connection_pool.h"
#include "http/message_parser.h"
#include "http/tcp_connection.h"

namespace ochrespring::http {

/// Runs an exchange. Owned by the caller's handle and, while it runs, by itself.
class ClientExchange final : public TcpConnection::Listener,
                             public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(EventLoop& loop, ConnectionPool& pool, ClientStatistics& statistics,
                 ClientRequest request, ResponseObserver& observer);

  void start();
  /// Stops all callbacks and closes the connection.
  void cancel();
  void set_reading(bool reading);
  bool sent() const { return sent_; }

  void on_connected(bool success) override;
  void on_readable() override;
  void on_writable() override;

 private:
  /// How the end of the response body is determined.
  enum class BodyEnd : std::uint8_t { kNone, kLength, kChunked, kClose };

  void take_pooled_connection();
  Result<void, HttpError> open_connection();
  void request_relaying();
  void read_relay_status();
  void send_request();
  void fail_later(HttpErrc code, std::string message);
  void write_more();
  void process_input();
  bool process_head();
  void determine_framing();
  void process_body();
  void process_chunks();
  bool is_response_to_other_request() const;
  bool has_begun_head() const;
  bool count_surplus_head();
  void check_overhead();
  void deliver(std::string_view bytes);
  void on_response_end(std::string trailing);
  void on_peer_closed(IoStatus status);
  void complete(bool trailing);
  void fail_with(HttpErrc code, std::string message);
  void return_to_pool(bool trailing);
  /// Closes the connection. The peer gets nothing of the request that it has not received yet.
  void abandon_connection();
  bool all_written() const { return written_ == head_.size() + request_.body.size(); }

  EventLoop& loop_;
  ConnectionPool& pool_;
  ClientStatistics& statistics_;
  ClientRequest request_;
  std::string head_;
  ResponseObserver* observer_;
  Timer timeout_;
  Timer connect_timeout_;
  std::shared_ptr<ClientExchange> self_;
  std::unique_ptr<TcpConnection> connection_;
  std::string input_;  ///< Received but not yet processed.
  ParsedHead parsed_;
  ChunkDecoder chunks_;
  BodyEnd body_end_ = BodyEnd::kClose;
  std::size_t body_left_ = 0;  ///< Remaining body bytes for kLength.
  std::size_t written_ = 0;
  Duration idle_lifetime_{};  ///< How long the connection may stay idle in the pool; zero: do not
                              ///< keep it.
  std::uint32_t surplus_heads_ = 0;  ///< Interim ones, and those of responses to other requests.
  std::size_t received_ = 0;         ///< Bytes read from the connection.
  std::size_t delivered_ = 0;        ///< Body bytes passed to the observer.
  bool head_received_ = false;
  bool interim_received_ = false;  ///< Before the head of the current response.
  bool skipping_ = false;          ///< The current response belongs to another request.
  bool skipped_response_ = false;  ///< Such a response was received on this connection.
  bool awaiting_relay_ = false;    ///< The relay has not stated yet whether it is connected.
  bool reused_ = false;
  bool sent_ = false;
  bool reading_ = true;
};

}  // namespace ochrespring::http
