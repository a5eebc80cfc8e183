// The emulator's event queue: typed events in order of time, ties in order of scheduling, so that
// one seed gives one history. Faster than timers with closures, and easy to read in a debugger.
#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "base/time.h"

namespace ochrespring::emulator {

enum class EventKind : std::uint8_t {
  kArrival,       ///< Request `subject` reaches its proxy.
  kEngineWake,    ///< Engine `target` may have events; `subject` tells stale wakes.
  kDeliver,       ///< Attempt `detail` of request `subject` reaches engine `target`.
  kDeliverCache,  ///< The KV cache's announcement reaches decode engine `target`.
  kReply,         ///< What `detail` packs about request `subject` reaches its proxy.
  kOrdinaryDone,  ///< Back end `target` has done attempt `detail` of request `subject`.
  kProxyTick,     ///< Proxy `target` takes a new snapshot.
  kReportTick,    ///< Engines publish load and cache events.
  kControlTick,   ///< Drains are checked, and plans made.
  kFault,         ///< Fault number `subject` begins.
  kFaultEnd,
};

struct Event {
  MonotonicTime at;
  std::uint64_t order = 0;
  EventKind kind = EventKind::kArrival;
  std::uint32_t target = 0;
  std::uint64_t subject = 0;
  std::uint32_t detail = 0;

  bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

/// Priority queue of events.
class EventQueue {
 public:
  /// Adds an event; its `order` is assigned here.
  void push(Event event) {
    event.order = next_order_++;
    events_.push(event);
  }
  bool empty() const { return events_.empty(); }
  /// Time of the next event; the queue must not be empty.
  MonotonicTime next_time() const { return events_.top().at; }
  Event pop() {
    const Event event = events_.top();
    events_.pop();
    return event;
  }

 private:
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
};

}  // namespace ochrespring::emulator
