// The admission queues of one node, one per service, processed when an attempt ends and at random
// intervals. Must be used from one event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "admission_queue/service_queue.h"
#include "base/random.h"
#include "base/timer.h"
#include "gateway/request_queue.h"
#include "gateway/statistics.h"
#include "logging/logger.h"
#include "metrics/metrics.h"

namespace ochrespring::admission_queue {

/// Counters of one node over all services.
struct QueueStatistics {
  std::uint64_t queued = 0;  ///< Requests that joined a queue.
  std::uint64_t sent = 0;    ///< Queued requests that were sent to a back end.
  std::uint64_t left = 0;  ///< Requests whose caller disconnected or whose session ended otherwise.
  std::uint64_t probes = 0;    ///< Requests admitted to test a prediction.
  std::uint64_t returned = 0;  ///< Requests retried by the caller at the time it was given.
  std::uint64_t rejected_too_late = 0;
  std::uint64_t rejected_full = 0;
  std::uint64_t rejected_displaced = 0;
  std::uint64_t rejected_expired = 0;
  std::uint64_t rejected_stopping = 0;
  gateway::LatencyHistogram predicted_wait;  ///< At joining, for requests that were sent.
  gateway::LatencyHistogram actual_wait;     ///< For requests that were sent.
};

/// Processes a queue when an attempt of this node ends, and otherwise at random intervals that
/// increase with the number of nodes, so that not all nodes try to use one free slot at the same
/// time.
class AdmissionQueue final : public gateway::RequestQueue {
 public:
  /// All references must outlive the queue.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    logging::Logger& logger;
    std::function<std::uint32_t()> node_count;  ///< At least 1, including this node.
  };

  AdmissionQueue(Dependencies deps, QueueLimits limits) : deps_(std::move(deps)), limits_(limits) {}

  /// Sets the limits for requests that join from now on.
  void set_limits(const QueueLimits& limits) { limits_ = limits; }
  /// Rejects waiting requests and, from now on, new ones, except requests that were sent before and
  /// new requests for which a back end has room.
  void stop();

  bool enabled() const override { return limits_.requests != 0; }
  bool has_waiting(const ServiceName& service) const override;
  std::size_t waiting() const override { return waiting_count_; }
  gateway::JoinResult join(gateway::QueueRequest request, gateway::QueueWaiter& waiter) override;
  void note_attempt_ended(const ServiceName& service, bool completed) override;

  const QueueStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  struct Waiting {
    gateway::QueueWaiter* waiter = nullptr;
    Duration predicted_wait{};
  };
  struct ServiceState {
    explicit ServiceState(TimerService& timers) : timer(timers) {}

    ServiceQueue queue;
    std::map<Handle, Waiting> waiters;
    Timer timer;
    bool due_at_once = false;     ///< The timer is armed with a zero delay.
    std::uint32_t max_batch = 1;  ///< Maximum number of requests that one dispatch may send.
  };
  class Place;

  ServiceState& state_of(const ServiceName& service);
  void leave(const ServiceName& service, Handle handle);
  void dispatch_soon(const ServiceName& service, ServiceState& state);
  void schedule_dispatch(const ServiceName& service, ServiceState& state);
  void dispatch(const ServiceName& service);
  /// Returns whether the first request of any class was sent.
  bool send_first(ServiceState& state);
  void note_sent(ServiceState& state, Handle handle, MonotonicTime joined, Duration predicted);
  void reject_expired(const ServiceName& service, ServiceState& state);
  gateway::QueueRejection make_rejection(const ServiceName& service, ServiceState& state,
                                         gateway::QueueWaiter& waiter,
                                         gateway::QueueRejectReason reason, Duration predicted);
  /// Rejects a waiting request, unless it has left the queue or may not be rejected.
  void reject(const ServiceName& service, ServiceState& state, Handle handle,
              gateway::QueueRejectReason reason);

  Dependencies deps_;
  QueueLimits limits_;
  std::map<ServiceName, std::unique_ptr<ServiceState>> states_;
  Handle next_handle_ = 0;
  std::size_t waiting_count_ = 0;
  bool stopping_ = false;
  QueueStatistics statistics_;
};

}  // namespace ochrespring::admission_queue
