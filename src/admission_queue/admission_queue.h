// The queues of one node: one for each service, woken when places become free. One loop.
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

/// Counts of one node, all services together.
struct QueueStatistics {
  std::uint64_t queued = 0;    ///< Requests that joined a queue.
  std::uint64_t sent = 0;      ///< Requests that left it to a back end.
  std::uint64_t left = 0;      ///< Requests whose caller left or whose session ended otherwise.
  std::uint64_t probes = 0;    ///< Requests admitted to test a prediction.
  std::uint64_t returned = 0;  ///< Requests whose caller came back when it was told to.
  std::uint64_t rejected_too_late = 0;
  std::uint64_t rejected_full = 0;
  std::uint64_t rejected_displaced = 0;
  std::uint64_t rejected_expired = 0;
  std::uint64_t rejected_stopping = 0;
  gateway::LatencyHistogram predicted_wait;  ///< Of requests that were sent: when they joined.
  gateway::LatencyHistogram actual_wait;     ///< Of requests that were sent.
};

/// Wakes a queue when an attempt of this node ends, and otherwise at random intervals that grow
/// with the number of nodes, so that they do not all try one free place at once.
class AdmissionQueue final : public gateway::RequestQueue {
 public:
  /// References outlive it.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    logging::Logger& logger;
    std::function<std::uint32_t()> node_count;  ///< At least 1, this node included.
  };

  AdmissionQueue(Dependencies deps, QueueLimits limits) : deps_(std::move(deps)), limits_(limits) {}

  /// For requests that join from now on.
  void set_limits(const QueueLimits& limits) { limits_ = limits; }
  /// The node stops: those that wait are rejected, but for streams and repeats, and so are those
  /// that would join.
  void stop();

  bool enabled() const override { return limits_.requests != 0; }
  bool has_waiting(const ServiceName& service) const override;
  std::size_t waiting() const override { return places_; }
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
    bool due_at_once = false;  ///< The timer is armed for now.
    std::uint32_t batch = 1;   ///< Requests that one wake-up may send.
  };
  class Place;

  ServiceState& state_of(const ServiceName& service);
  void leave(const ServiceName& service, Handle handle);
  void wake_now(const ServiceName& service, ServiceState& state);
  void wake_later(const ServiceName& service, ServiceState& state);
  void on_wake(const ServiceName& service);
  /// Whether the first request of some class was taken.
  bool send_first(ServiceState& state);
  void note_sent(ServiceState& state, Handle handle, MonotonicTime joined, Duration predicted);
  void reject_expired(const ServiceName& service, ServiceState& state);
  gateway::QueueRejection make_rejection(const ServiceName& service, ServiceState& state,
                                         gateway::QueueWaiter& waiter,
                                         gateway::QueueRejectReason reason, Duration predicted);
  /// Ends one that waits; it may be gone already.
  void reject(const ServiceName& service, ServiceState& state, Handle handle,
              gateway::QueueRejectReason reason);

  Dependencies deps_;
  QueueLimits limits_;
  std::map<ServiceName, std::unique_ptr<ServiceState>> states_;
  Handle next_ = 0;
  std::size_t places_ = 0;
  bool stopping_ = false;
  QueueStatistics statistics_;
};

}  // namespace ochrespring::admission_queue
