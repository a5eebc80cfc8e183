// The property of every message that nodes exchange or store.
#pragma once

#include <string>
#include <string_view>

#include "fuzzing/fuzz_target.h"
#include "wire/codec.h"

namespace ochrespring::fuzzing {

/// Whether what decodes encodes to bytes that decode and encode to the same bytes.
template <class T>
void require_round_trip(std::string_view bytes) {
  const auto decoded = wire::decode<T>(bytes);
  if (!decoded) {
    return;
  }
  const std::string encoded = wire::encode(decoded.value());
  const auto again = wire::decode<T>(encoded);
  require(again.has_value());
  require(wire::encode(again.value()) == encoded);
}

}  // namespace ochrespring::fuzzing
