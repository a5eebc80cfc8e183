#include "admission_queue/admission_queue.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "metrics/counter_table.h"

namespace ochrespring::admission_queue {

using gateway::DispatchResult;
using gateway::JoinResult;
using gateway::QueueRejection;
using gateway::QueueRejectReason;
using gateway::QueueRequest;
using gateway::QueueWaiter;
using std::chrono::milliseconds;

namespace {

/// The interval between two dispatches of a queue, per node of the fleet, and its bounds. Work
/// reports between nodes take about 10 ms: more frequent dispatches would decide on the same
/// reports again.
constexpr Duration kDispatchIntervalPerNode = milliseconds(1);
constexpr Duration kMinDispatchInterval = milliseconds(10);
constexpr Duration kMaxDispatchInterval = milliseconds(50);
constexpr double kDispatchJitter = 0.5;
/// A dispatch that sends its maximum number of requests doubles the maximum of the next one, up to
/// this.
constexpr std::uint32_t kMaxBatch = 16;

struct ReasonRow {
  QueueRejectReason reason;
  const char* name;
  std::uint64_t QueueStatistics::*count;
};
constexpr std::array<ReasonRow, 5> kReasons{{
    {QueueRejectReason::kTooLate, "too-late", &QueueStatistics::rejected_too_late},
    {QueueRejectReason::kFull, "full", &QueueStatistics::rejected_full},
    {QueueRejectReason::kDisplaced, "displaced", &QueueStatistics::rejected_displaced},
    {QueueRejectReason::kExpired, "expired", &QueueStatistics::rejected_expired},
    {QueueRejectReason::kStopping, "stopping", &QueueStatistics::rejected_stopping},
}};

const ReasonRow& find_reason(QueueRejectReason reason) {
  return *std::find_if(kReasons.begin(), kReasons.end(),
                       [&](const ReasonRow& row) { return row.reason == reason; });
}

constexpr metrics::CounterRow<QueueStatistics> kCounters[] = {
    {"queue_joined", "Requests that joined a queue", &QueueStatistics::queued},
    {"queue_sent", "Queued requests that were sent", &QueueStatistics::sent},
    {"queue_left", "Queued requests whose caller disconnected or whose session ended",
     &QueueStatistics::left},
    {"queue_probes", "Requests queued to test a prediction", &QueueStatistics::probes},
    {"queue_returned", "Rejected requests that were retried at their assigned time",
     &QueueStatistics::returned},
};

std::uint64_t to_milliseconds(Duration span) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(span).count());
}

void add_waits(const std::string& name, const std::string& help,
               const gateway::LatencyHistogram& waits, metrics::SampleSink& sink) {
  for (std::size_t i = 0; i != gateway::LatencyHistogram::kBounds.size(); ++i) {
    sink.counter({name + "_bucket", "Histogram of " + help + ", in seconds"},
                 static_cast<double>(waits.counts()[i]),
                 {{"le", std::to_string(gateway::LatencyHistogram::kBounds[i])}});
  }
  sink.counter({name + "_count", "Number of " + help}, static_cast<double>(waits.count()));
  sink.counter({name + "_sum", "Sum of " + help + ", in seconds"}, waits.sum());
}

}  // namespace

class AdmissionQueue::Place final : public gateway::QueuePlace {
 public:
  Place(AdmissionQueue& queue, ServiceName service, Handle handle)
      : queue_(queue), service_(std::move(service)), handle_(handle) {}
  ~Place() override { queue_.leave(service_, handle_); }
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;

 private:
  AdmissionQueue& queue_;
  ServiceName service_;
  Handle handle_;
};

AdmissionQueue::ServiceState& AdmissionQueue::state_of(const ServiceName& service) {
  std::unique_ptr<ServiceState>& state = states_[service];
  if (!state) {
    state = std::make_unique<ServiceState>(deps_.timers);
  }
  return *state;
}

bool AdmissionQueue::has_waiting(const ServiceName& service) const {
  const auto found = states_.find(service);
  return found != states_.end() && !found->second->waiters.empty();
}

JoinResult AdmissionQueue::join(QueueRequest request, QueueWaiter& waiter) {
  const MonotonicTime now = deps_.clock.now();
  const ServiceName service = request.service;
  ServiceState& state = state_of(service);
  JoinResult result;
  if (stopping_ && request.may_be_rejected()) {
    if (!request.room_seen) {
      result.rejection =
          make_rejection(service, state, waiter, QueueRejectReason::kStopping, Duration::zero());
    }
    return result;
  }
  RetrySchedule& schedule = state.queue.retry_schedule();
  request.returned = request.sent_before ||
                     (!schedule.empty() && schedule.consume(waiter.queue_fingerprint().low, now));
  statistics_.returned += request.returned && !request.sent_before ? 1 : 0;
  const Handle handle = next_handle_++;
  const JoinDecision decision = state.queue.join(handle, request, limits_, now);
  if (!decision.admitted) {
    if (!request.room_seen) {
      result.rejection =
          make_rejection(service, state, waiter, decision.reason, decision.predicted_wait);
    }
    return result;
  }
  ++statistics_.queued;
  statistics_.probes += decision.probe ? 1 : 0;
  state.waiters[handle] = {&waiter, decision.predicted_wait};
  ++waiting_count_;
  result.place = std::make_unique<Place>(*this, service, handle);
  for (const Handle displaced : decision.displaced) {
    reject(service, state, displaced, QueueRejectReason::kDisplaced);
  }
  if (request.room_seen) {
    dispatch_soon(service, state);
  } else {
    schedule_dispatch(service, state);
  }
  return result;
}

void AdmissionQueue::leave(const ServiceName& service, Handle handle) {
  ServiceState& state = state_of(service);
  if (state.waiters.erase(handle) == 0) {
    return;
  }
  --waiting_count_;
  ++statistics_.left;
  state.queue.remove(handle, deps_.clock.now());
}

void AdmissionQueue::note_attempt_ended(const ServiceName& service, bool completed) {
  const auto found = states_.find(service);
  if (found == states_.end()) {
    return;
  }
  ServiceState& state = *found->second;
  if (completed) {
    state.queue.note_completion(deps_.clock.now());
  }
  if (!state.waiters.empty()) {
    dispatch_soon(service, state);
  }
}

/// Uses a timer without delay, because the calling session is still processing its own request.
void AdmissionQueue::dispatch_soon(const ServiceName& service, ServiceState& state) {
  if (!std::exchange(state.due_at_once, true)) {
    state.timer.arm(Duration::zero(), [this, service] { dispatch(service); });
  }
}

void AdmissionQueue::schedule_dispatch(const ServiceName& service, ServiceState& state) {
  if (state.timer.armed()) {
    return;
  }
  const Duration interval = std::clamp<Duration>(kDispatchIntervalPerNode * deps_.node_count(),
                                                 kMinDispatchInterval, kMaxDispatchInterval);
  Duration delay = deps_.random.jitter(interval, kDispatchJitter);
  const MonotonicTime now = deps_.clock.now();
  if (const auto due = state.queue.requests().next_due_after(now + ServiceQueue::kExpiryMargin)) {
    delay = std::min<Duration>(delay, *due - ServiceQueue::kExpiryMargin - now);
  }
  state.timer.arm(delay, [this, service] { dispatch(service); });
}

void AdmissionQueue::dispatch(const ServiceName& service) {
  ServiceState& state = state_of(service);
  state.due_at_once = false;
  reject_expired(service, state);
  std::uint32_t sent = 0;
  while (sent != state.max_batch && send_first(state)) {
    ++sent;
  }
  state.max_batch = sent == state.max_batch ? std::min(2 * state.max_batch, kMaxBatch) : 1;
  if (!state.waiters.empty()) {
    schedule_dispatch(service, state);
  }
}

/// A request without room does not block those of other classes: a short prompt may find room where
/// a long one does not.
bool AdmissionQueue::send_first(ServiceState& state) {
  for (const Handle handle : state.queue.requests().first_of_each_class(deps_.clock.now())) {
    const auto found = state.waiters.find(handle);
    if (found == state.waiters.end()) {
      continue;
    }
    const Waiting waiting = found->second;
    const MonotonicTime joined = state.queue.requests().joined(handle);
    if (waiting.waiter->try_dispatch() == DispatchResult::kLeftQueue) {
      note_sent(state, handle, joined, waiting.predicted_wait);
      return true;
    }
  }
  return false;
}

/// Does nothing if the session ended inside try_dispatch(), which has already removed the request.
void AdmissionQueue::note_sent(ServiceState& state, Handle handle, MonotonicTime joined,
                               Duration predicted) {
  const MonotonicTime now = deps_.clock.now();
  if (!state.queue.serve(handle, now)) {
    return;
  }
  state.waiters.erase(handle);
  --waiting_count_;
  ++statistics_.sent;
  statistics_.predicted_wait.note(predicted);
  statistics_.actual_wait.note(now - joined);
}

void AdmissionQueue::reject_expired(const ServiceName& service, ServiceState& state) {
  const MonotonicTime until = deps_.clock.now() + ServiceQueue::kExpiryMargin;
  for (const Handle handle : state.queue.requests().due_by(until)) {
    reject(service, state, handle, QueueRejectReason::kExpired);
  }
}

void AdmissionQueue::reject(const ServiceName& service, ServiceState& state, Handle handle,
                            QueueRejectReason reason) {
  const auto found = state.waiters.find(handle);
  if (found == state.waiters.end() || !state.queue.requests().may_be_rejected(handle)) {
    return;
  }
  const Waiting waiting = found->second;
  state.waiters.erase(found);
  --waiting_count_;
  state.queue.remove(handle, deps_.clock.now());
  waiting.waiter->on_rejected(
      make_rejection(service, state, *waiting.waiter, reason, waiting.predicted_wait));
}

/// A stopping node gives no retry time: other nodes can serve the request now.
QueueRejection AdmissionQueue::make_rejection(const ServiceName& service, ServiceState& state,
                                              QueueWaiter& waiter, QueueRejectReason reason,
                                              Duration predicted) {
  const ReasonRow& row = find_reason(reason);
  ++(statistics_.*row.count);
  QueueRejection rejection{.reason = reason, .predicted_wait = predicted};
  if (reason != QueueRejectReason::kStopping) {
    rejection.retry_after =
        state.queue.retry_after(waiter.queue_fingerprint().low, deps_.random, deps_.clock.now());
  }
  deps_.logger.write({logging::Level::kInfo,
                      "queue",
                      "request rejected by the admission queue",
                      {{"service", service.value()},
                       {"reason", std::string(row.name)},
                       {"fingerprint", waiter.queue_fingerprint().to_hex()},
                       {"predicted_wait_ms", to_milliseconds(predicted)},
                       {"retry_after_ms", to_milliseconds(rejection.retry_after)},
                       {"queued", static_cast<std::uint64_t>(state.waiters.size())}}});
  return rejection;
}

void AdmissionQueue::stop() {
  stopping_ = true;
  for (const auto& [service, state] : states_) {
    for (const Handle handle : state->queue.requests().rejectable()) {
      reject(service, *state, handle, QueueRejectReason::kStopping);
    }
  }
}

void AdmissionQueue::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  for (const ReasonRow& row : kReasons) {
    sink.counter({"queue_rejected", "Requests rejected by a queue"},
                 static_cast<double>(statistics_.*row.count), {{"reason", row.name}});
  }
  add_waits("queue_predicted_wait_seconds", "predicted waits of queued requests that were sent",
            statistics_.predicted_wait, sink);
  add_waits("queue_wait_seconds", "actual waits of queued requests that were sent",
            statistics_.actual_wait, sink);
  const MonotonicTime now = deps_.clock.now();
  for (const auto& [service, state] : states_) {
    const FairQueue& waiting = state->queue.requests();
    const std::vector<metrics::Label> labels{{"service", service.value()}};
    sink.gauge({"queue_requests", "Queued requests"}, static_cast<double>(waiting.size()), labels);
    sink.gauge({"queue_bytes", "Total size of the bodies of queued requests in bytes"},
               static_cast<double>(waiting.bytes()), labels);
    sink.gauge({"queue_longest_wait_seconds", "Wait of the oldest queued request"},
               waiting.oldest() ? to_seconds(now - *waiting.oldest()) : 0, labels);
  }
}

}  // namespace ochrespring::admission_queue
