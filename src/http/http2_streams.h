// What the streams of HTTP/2 connections hold. Private to src/http.
#pragma once

#include <cstddef>
#include <functional>

#include "base/time.h"
#include "http/h2o_api.h"

namespace ochrespring::http {

/// A stream whose request is incomplete or waits for its turn, so that no handler has seen it.
struct UnhandledStream {
  h2o_req_t* request = nullptr;
  std::size_t bytes = 0;
  Duration age{};  ///< Since its headers began.
};

/// Whether the connection speaks HTTP/2.
bool is_http2(const h2o_conn_t& connection);

/// Whether an HTTP/2 connection has unhandled streams.
bool has_unhandled_streams(const h2o_conn_t& connection);

/// Calls `visit` for each unhandled stream of all HTTP/2 connections of a server. Costs time for
/// every open stream.
void visit_unhandled_streams(h2o_context_t& context,
                             const std::function<void(const UnhandledStream&)>& visit);

/// Bytes that an HTTP/2 connection holds besides its streams: incomplete header blocks and output.
std::size_t frame_bytes(const h2o_conn_t& connection);

/// Ends an unhandled stream. The peer is told that the request was not processed (REFUSED_STREAM).
void refuse_stream(h2o_req_t& request);

}  // namespace ochrespring::http
