// Encoding and decoding of internal messages.
#pragma once

#include <string>
#include <string_view>

#include "wire/archive.h"
#include "wire/errc.h"

namespace ochrespring::wire {

/// Encodes a message.
template <class T>
std::string encode(const T& message) {
  std::string bytes;
  OutputArchive archive(bytes);
  archive << message;
  return bytes;
}

/// Decodes a message; fails if bytes are left over. Safe on arbitrary input.
template <class T>
Result<T, WireError> decode(std::string_view bytes) {
  try {
    InputArchive archive(bytes);
    T message{};
    archive >> message;
    if (archive.remaining() != 0) {
      return fail(WireErrc::kTrailingBytes, "bytes left after the message");
    }
    return message;
  } catch (const DecodeFailure& failure) {
    if (failure.truncated) {
      return fail(WireErrc::kTruncated, "message ends early");
    }
    return fail(WireErrc::kMalformed, "value out of range");
  }
}

}  // namespace ochrespring::wire
