// Decides which clients give way when the memory or the connections for clients run out.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::http {

/// What one incomplete request, or one answer that is not read, occupies.
struct Occupancy {
  std::size_t bytes = 0;
  Duration age{};    ///< Since its first byte.
  Duration stall{};  ///< Since its last byte.
};

/// How much a client holds back from others; the client with the highest cost gives way first. It
/// grows with the bytes held and with the time for which nothing moved; a client that moves is
/// charged for an eighth of its age, so that it cannot hold memory forever by sending a byte now
/// and then.
double eviction_cost(const Occupancy& occupancy);

/// A peer that has taken bytes of its answer within this time still reads it.
inline constexpr Duration kMaxReadingStall = std::chrono::seconds(1);

/// What a connection is used for, in the order in which connections are closed to make room for
/// others.
enum class ConnectionUse : std::uint8_t {
  kLingering,  ///< Answered; what the peer still sends is discarded.
  kUnused,     ///< Has never carried a request.
  kIdle,       ///< Has carried a request and waits for the next one.
  kReading,    ///< A request is being read.
  kUnread,     ///< Answers wait that the peer has not read for a while.
  kBusy,       ///< A request was accepted; never closed for others.
};

}  // namespace ochrespring::http
