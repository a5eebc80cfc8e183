// One request and its answer on one outgoing connection. Private to src/http.
#pragma once

#include <memory>
#include <string>

#include "base/timer.h"
#include "http/client.h"
#include "http/client_connection.h"
#include "http/connection_pool.h"
#include "http/message_parser.h"

namespace ochrespring::http {

/// Runs an exchange. Held by the caller's handle and, while it runs, by itself.
class ClientExchange final : public ClientConnection::Listener,
                             public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(EventLoop& loop, ConnectionPool& pool, ClientStatistics& statistics,
                 ClientRequest request, ResponseObserver& observer);

  void start();
  /// Nothing is reported from now on; the connection is closed.
  void cancel();
  void set_reading(bool reading);

  void on_connected(bool success) override;
  void on_readable() override;
  void on_writable() override;

 private:
  /// How the end of an answer is known.
  enum class BodyEnd : std::uint8_t { kNone, kLength, kChunked, kClose };

  void begin();
  void fail_later(HttpErrc code, std::string message);
  void write_more();
  void take_input();
  bool take_head();
  void read_head_fields();
  void take_body();
  void take_chunks();
  bool belongs_to_another() const;
  void deliver(std::string_view bytes);
  void end_answer(std::string surplus);
  void peer_closed(IoStatus status);
  void end_whole(bool surplus);
  void end_with_failure(HttpErrc code, std::string message);
  void keep_connection(bool surplus);
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
  std::unique_ptr<ClientConnection> connection_;
  std::string input_;  ///< Received and not yet delivered.
  ParsedHead parsed_;
  ChunkDecoder chunks_;
  BodyEnd body_end_ = BodyEnd::kClose;
  std::size_t body_left_ = 0;  ///< For kLength.
  std::size_t written_ = 0;
  Duration keep_{};  ///< How long the connection may be kept; zero: not at all.
  bool head_taken_ = false;
  bool foreign_ = false;        ///< The answer being read belongs to another request.
  bool after_foreign_ = false;  ///< Such an answer came on this connection.
  bool reused_ = false;
  bool sent_ = false;
  bool reading_ = true;
};

}  // namespace ochrespring::http
