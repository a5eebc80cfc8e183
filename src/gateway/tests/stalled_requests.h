// What the tests of silent back ends share.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace ochrespring::gateway::testing {

/// Progress timeouts of the routes of GatewayFixture.
inline constexpr Duration kStreamTimeout = std::chrono::milliseconds(900);  ///< Between events.
inline constexpr Duration kFirstEventTimeout = std::chrono::milliseconds(1000);
inline constexpr Duration kAnswerTimeout = std::chrono::milliseconds(300);  ///< Of `/idempotent/`.

inline std::string event(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

inline std::string events(std::uint64_t first, std::uint64_t last) {
  std::string all;
  for (std::uint64_t id = first; id <= last; ++id) {
    all += event(id);
  }
  return all;
}

}  // namespace ochrespring::gateway::testing
