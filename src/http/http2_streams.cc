#include "http/http2_streams.h"

#include <chrono>

extern "C" {
#include <h2o/http2_internal.h>
}

namespace ochrespring::http {

namespace {

/// Charged for a stream besides its body: its request, its headers and its place in the connection.
constexpr std::size_t kStreamBytes = 6U << 10U;
/// Error code of RFC 9113, section 7.
constexpr int kRefusedStream = 7;

h2o_http2_conn_t& to_http2(h2o_conn_t& connection) {
  return reinterpret_cast<h2o_http2_conn_t&>(connection);
}

const h2o_http2_conn_t& to_http2(const h2o_conn_t& connection) {
  return reinterpret_cast<const h2o_http2_conn_t&>(connection);
}

h2o_http2_stream_t& stream_of(h2o_req_t& request) {
  return *H2O_STRUCT_FROM_MEMBER(h2o_http2_stream_t, req, &request);
}

std::size_t size_of(const h2o_buffer_t* buffer) {
  return buffer == nullptr ? 0 : buffer->size;
}

Duration time_between(const timeval& from, const timeval& to) {
  return std::chrono::seconds(to.tv_sec - from.tv_sec) +
         std::chrono::microseconds(to.tv_usec - from.tv_usec);
}

struct Visit {
  const std::function<void(const UnhandledStream&)>& visit;
  timeval now;
};

int visit_stream(h2o_req_t* request, void* data) {
  const auto& [visit, now] = *static_cast<const Visit*>(data);
  const h2o_http2_stream_t& stream = stream_of(*request);
  if (stream.state <= H2O_HTTP2_STREAM_STATE_REQ_PENDING) {
    visit({request, kStreamBytes + size_of(stream._req_body),
           time_between(request->timestamps.request_begin_at, now)});
  }
  return 0;
}

}  // namespace

bool is_http2(const h2o_conn_t& connection) {
  // Of the two protocols, only HTTP/2 can push.
  return connection.callbacks->push_path != nullptr;
}

bool has_unhandled_streams(const h2o_conn_t& connection) {
  const h2o_http2_conn_num_streams_t& streams = to_http2(connection).num_streams.pull;
  return streams.open != streams.half_closed;
}

void visit_unhandled_streams(h2o_context_t& context,
                             const std::function<void(const UnhandledStream&)>& visit) {
  Visit data{visit, *h2o_get_timestamp(&context, nullptr, nullptr)};
  context.globalconf->http2.callbacks.foreach_request(&context, visit_stream, &data);
}

std::size_t frame_bytes(const h2o_conn_t& connection) {
  const h2o_http2_conn_t& http2 = to_http2(connection);
  return size_of(http2._headers_unparsed) + size_of(http2._write.buf) +
         size_of(http2._write.buf_in_flight);
}

void refuse_stream(h2o_req_t& request) {
  h2o_http2_conn_t& connection = to_http2(*request.conn);
  h2o_http2_stream_t& stream = stream_of(request);
  h2o_http2__encode_rst_stream_frame(&connection._write.buf, stream.stream_id, kRefusedStream);
  h2o_http2_conn_request_write(&connection);
  h2o_http2_stream_reset(&connection, &stream);
}

}  // namespace ochrespring::http
