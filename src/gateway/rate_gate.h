// Keeps what back ends are sent within the rates that they name.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/time.h"
#include "gateway/rate_limit_header.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Order in which requests get what limited back ends take; 0 is the first.
using SendRank = std::uint32_t;
inline constexpr SendRank kBegunStreamRank = 0;

/// A whole head of a back end's answer.
struct RateAnswer {
  BackendId backend;
  MonotonicTime sent{};  ///< When its request was.
  RateStatement statement;
};

/// What becomes of a claim.
enum class ClaimResult : std::uint8_t {
  kGranted,  ///< The request may be sent now.
  kDenied,   ///< There is no room, and has_room() says so for a while.
  kPending,  ///< The callback is told, later.
};

/// One loop.
class RateGate {
 public:
  virtual ~RateGate() = default;
  /// Whether the back end may have room for a request, as far as this node knows.
  virtual bool has_room(const BackendId& backend, MonotonicTime now) const = 0;
  /// To be asked before each send, of whatever kind. `done` is called for kPending alone.
  virtual ClaimResult claim(const BackendId& backend, SendRank rank,
                            std::function<void(bool granted)> done) = 0;
  /// How long until one of the service's back ends that have no room now may have some; none: all
  /// have room.
  virtual std::optional<Duration> time_to_room(const ServiceName& service,
                                               MonotonicTime now) const = 0;
  virtual void note_answer(const RateAnswer& answer) = 0;
};

}  // namespace ochrespring::gateway
