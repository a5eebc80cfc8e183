// Says which back ends may be sent requests, by what they have said of themselves.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/time.h"
#include "gateway/backend_statement.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Order in which requests get what limited back ends take; 0 is the first.
using SendRank = std::uint32_t;
inline constexpr SendRank kStartedStreamRank = 0;

/// A whole head of a back end's answer that is its own: not misdirected.
struct BackendAnswer {
  BackendId backend;
  MonotonicTime sent{};  ///< When its request was.
  BackendStatement statement;
};

/// What becomes of a claim.
enum class ClaimResult : std::uint8_t {
  kGranted,  ///< The request may be sent now.
  kDenied,   ///< There is no room, and has_room() says so for a while.
  kPending,  ///< The callback is told, later.
};

/// When a service's back ends that are closed to this node now take requests again.
struct RoomForecast {
  Duration wait{};           ///< Until the first of them does.
  bool backing_off = false;  ///< It has asked for a pause; else it has named a rate.
};

/// One loop.
class SendGate {
 public:
  virtual ~SendGate() = default;
  /// Whether the back end may have room for a request, as far as this node knows.
  virtual bool has_room(const BackendId& backend, MonotonicTime now) const = 0;
  /// To be asked before each send, of whatever kind. `done` is called for kPending alone.
  virtual ClaimResult claim(const BackendId& backend, SendRank rank,
                            std::function<void(bool granted)> done) = 0;
  /// Whether the back end has asked this node to send it nothing for now.
  virtual bool is_paused(const BackendId& backend, MonotonicTime now) const = 0;
  /// Whether the back end has not asked, since the claim, for nothing more. To be asked when the
  /// first byte is about to leave: a request may have waited for a permit or a connection.
  virtual bool may_send(const BackendId& backend, MonotonicTime now) const = 0;
  /// A request that was claimed is on its way.
  virtual void note_send(const BackendId& backend, MonotonicTime now) = 0;
  /// None: all back ends of the service have room.
  virtual std::optional<RoomForecast> forecast(const ServiceName& service,
                                               MonotonicTime now) const = 0;
  virtual void note_answer(const BackendAnswer& answer) = 0;
};

}  // namespace ochrespring::gateway
