// ResponseWriter of the server: one response to one h2o request.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/event_loop.h"
#include "http/eviction_order.h"
#include "http/h2o_api.h"
#include "http/memory_account.h"
#include "http/server.h"

namespace ochrespring::http {

/// Shuts down the connection of an unfinished request, so that h2o closes it. The caller sees that
/// the response is incomplete.
void shut_down_connection(const h2o_req_t& request);

class GuardedConnection;

/// Buffers the response for h2o's generator interface, which accepts one write at a time. Writes
/// made in one loop iteration are merged. May outlive the h2o request, whose disposal it detects
/// through the request's memory pool: this is the only notification that h2o gives in all cases
/// (HTTP/1.1 close, HTTP/2 reset, response finished).
class ResponseStream final : public ResponseWriter,
                             public std::enable_shared_from_this<ResponseStream> {
 public:
  ResponseStream(EventLoop& loop, std::shared_ptr<MemoryAccount> account, h2o_req_t* request);
  ~ResponseStream() override;

  /// Binds the stream to the lifetime of the request, whose body was copied unless it was rejected.
  /// Called once, after construction. `released` bytes of h2o's copy of the body are no longer
  /// backed by memory.
  void attach(std::size_t released);

  /// What the peer has not taken of the answer.
  Occupancy unread() const;
  /// Whether the peer has not taken any of it for kMaxReadingStall.
  bool is_stalled() const;
  /// Resets the connection of a peer that does not read its answer. What it holds counts as
  /// released at once; h2o gives it back in the next iteration of the loop.
  void abandon();

  void send_head(const ResponseHead& head) override;
  void send_body(std::string_view bytes) override;
  void finish() override;
  void abort() override;
  std::size_t buffered_bytes() const override { return queued_.size() + in_flight_.size(); }
  bool closed() const override { return request_ == nullptr || caller_disconnected_; }
  bool poll_closed() const override;
  void on_closed(std::function<void()> callback) override { on_closed_ = std::move(callback); }
  void on_drained(std::function<void()> callback) override { on_drained_ = std::move(callback); }

 private:
  /// h2o's generator with a pointer to its stream.
  struct Generator {
    h2o_generator_t super;
    ResponseStream* owner;
  };
  /// Allocated in the memory pool of the request and disposed of with it.
  struct RequestSlot {
    ResponseStream* stream;
  };
  enum class End : std::uint8_t { kNone, kFinished, kAborted };

  static void on_proceed(h2o_generator_t* generator, h2o_req_t* request);
  static void on_disposed(void* slot);
  static void on_readable(h2o_socket_t* socket, const char* error);

  GuardedConnection* connection() const;
  void note_buffered();
  void schedule_pump();
  void pump();
  void send(h2o_send_state_t state);
  void on_request_disposed();
  void prepare_orderly_close();
  void on_caller_disconnected();
  h2o_socket_t* http1_socket() const;
  void watch_for_disconnect();
  void check_for_disconnect();
  void stop_watching();
  void start_response();
  bool close_ends_response() const;
  void reset_blocked_connection();

  EventLoop& loop_;
  MemoryCharge charge_;  ///< For what is buffered.
  h2o_req_t* request_;
  MonotonicTime taken_at_{};  ///< When the peer last took bytes of the answer, or the first ones
                              ///< were buffered.
  Generator generator_{};
  Timer pipelined_check_;
  std::shared_ptr<ResponseStream> self_;  ///< Keeps the stream alive while the request exists.
  std::string queued_;
  std::string in_flight_;
  std::function<void()> on_closed_;
  std::function<void()> on_drained_;
  End end_ = End::kNone;
  bool head_sent_ = false;
  bool writing_ = false;
  bool final_sent_ = false;
  bool pump_scheduled_ = false;
  bool caller_disconnected_ = false;
  bool abandoned_ = false;
  bool watching_ = false;
};

}  // namespace ochrespring::http
