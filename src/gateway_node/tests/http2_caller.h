// A caller that speaks HTTP/2 without TLS, frame by frame.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "gateway_node/tests/stopping_node.h"

namespace ochrespring::gateway_node::testing {

/// One connection with one request. Its flow-control windows admit large answers unless one is
/// given, but it reads from the socket only in receive().
class Http2Caller {
 public:
  explicit Http2Caller(const Endpoint& address, std::uint32_t window = kWindow)
      : connection_(address) {
    connection_.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                     frame(kSettings, 0, 0, window_settings(window)) +
                     frame(kWindowUpdate, 0, 0, big_endian(kWindow, 4)));
  }

  /// Sends a complete request if `body` is empty, else the headers and the first bytes of the body.
  void send(std::string_view method, std::string_view path, std::string_view body = {}) {
    std::string block;
    for (const auto& [name, value] :
         std::initializer_list<std::pair<std::string, std::string_view>>{{":method", method},
                                                                         {":scheme", "http"},
                                                                         {":path", path},
                                                                         {":authority", "h"},
                                                                         {"x-request-id", "r1"}}) {
      block += '\0' + hpack_string(name) + hpack_string(value);
    }
    connection_.send(
        frame(kHeaders, kEndHeaders | (body.empty() ? kEndStream : 0), kStream, block));
    if (!body.empty()) {
      connection_.send(frame(kData, 0, kStream, body));
    }
  }
  void send_rest(std::string_view body) {
    connection_.send(frame(kData, kEndStream, kStream, body));
  }

  /// Cancels the request.
  void reset_stream() {
    constexpr std::uint32_t kCancel = 8;
    connection_.send(frame(kResetStream, 0, kStream, big_endian(kCancel, 4)));
  }
  /// Announces that no further request follows; the request sent before is still to be answered.
  void go_away() {
    constexpr std::uint32_t kLastPeerStream = 0;
    constexpr std::uint32_t kNoError = 0;
    connection_.send(
        frame(kGoAway, 0, 0, big_endian(kLastPeerStream, 4) + big_endian(kNoError, 4)));
  }
  /// Admits large answers on the connection's stream, whatever its window was.
  void open_window() { connection_.send(frame(kWindowUpdate, 0, kStream, big_endian(kWindow, 4))); }
  RawCaller& connection() { return connection_; }

  struct Answer {
    std::string body;
    bool head = false;       ///< The response headers have arrived.
    bool success = false;    ///< The status is 200.
    bool complete = false;   ///< The end of the stream has arrived, not by a reset.
    bool was_reset = false;  ///< The node has reset the stream.
  };
  /// Parses everything received so far.
  Answer receive() {
    Answer answer;
    std::string_view bytes = connection_.receive();
    while (bytes.size() >= kFrameHeaderBytes &&
           bytes.size() >= kFrameHeaderBytes + payload_size(bytes)) {
      apply_frame(bytes, answer);
      bytes.remove_prefix(kFrameHeaderBytes + payload_size(bytes));
    }
    return answer;
  }

 private:
  static constexpr std::size_t kFrameHeaderBytes = 9;
  static constexpr std::uint8_t kData = 0;
  static constexpr std::uint8_t kHeaders = 1;
  static constexpr std::uint8_t kResetStream = 3;
  static constexpr std::uint8_t kSettings = 4;
  static constexpr std::uint8_t kGoAway = 7;
  static constexpr std::uint8_t kWindowUpdate = 8;
  static constexpr std::uint8_t kEndStream = 1;
  static constexpr std::uint8_t kEndHeaders = 4;
  static constexpr std::uint32_t kStream = 1;
  static constexpr std::uint32_t kWindow = 1U << 30U;
  /// ":status: 200" in HPACK's static table.
  static constexpr char kStatus200 = '\x88';

  static std::string big_endian(std::uint32_t value, int bytes) {
    std::string written;
    while (bytes-- > 0) {
      written += static_cast<char>(value >> static_cast<unsigned>(8 * bytes));
    }
    return written;
  }
  static std::string frame(std::uint8_t type, int flags, std::uint32_t stream,
                           std::string_view payload) {
    std::string written = big_endian(static_cast<std::uint32_t>(payload.size()), 3);
    written += static_cast<char>(type);
    written += static_cast<char>(flags);
    written += big_endian(stream, 4);
    written += payload;
    return written;
  }
  static std::string window_settings(std::uint32_t window) {
    constexpr std::uint32_t kInitialWindowSize = 4;
    return big_endian(kInitialWindowSize, 2) + big_endian(window, 4);
  }
  /// Encodes a string shorter than 127 bytes without Huffman coding.
  static std::string hpack_string(std::string_view value) {
    return static_cast<char>(value.size()) + std::string(value);
  }
  static std::size_t payload_size(std::string_view frame) {
    std::size_t size = 0;
    for (const char byte : frame.substr(0, 3)) {
      size = size << 8U | static_cast<std::uint8_t>(byte);
    }
    return size;
  }
  static void apply_frame(std::string_view bytes, Answer& answer) {
    const auto type = static_cast<std::uint8_t>(bytes[3]);
    const auto flags = static_cast<std::uint8_t>(bytes[4]);
    const std::string_view payload = bytes.substr(kFrameHeaderBytes, payload_size(bytes));
    answer.was_reset = answer.was_reset || type == kResetStream;
    if (type != kData && type != kHeaders) {
      return;
    }
    if (type == kHeaders) {
      answer.head = true;
      answer.success = payload.starts_with(kStatus200);
    } else {
      answer.body += payload;
    }
    answer.complete = answer.complete || (flags & kEndStream) != 0;
  }

  RawCaller connection_;
};

}  // namespace ochrespring::gateway_node::testing
