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

/// Between two wake-ups of a queue, for each node of the fleet, and its bounds. Reports of work
/// between nodes take some 10 ms: more frequent wake-ups would decide by the same reports again.
constexpr Duration kWakeIntervalPerNode = milliseconds(1);
constexpr Duration kLeastWakeInterval = milliseconds(10);
constexpr Duration kLongestWakeInterval = milliseconds(50);
constexpr double kWakeJitter = 0.5;
/// A wake-up that finds room for all it may send doubles what the next one may, up to this.
constexpr std::uint32_t kMostBatch = 16;

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

const ReasonRow& row_of(QueueRejectReason reason) {
  return *std::find_if(kReasons.begin(), kReasons.end(),
                       [&](const ReasonRow& row) { return row.reason == reason; });
}

constexpr metrics::CounterRow<QueueStatistics> kCounters[] = {
    {"queue_joined", "Requests that joined a queue", &QueueStatistics::queued},
    {"queue_sent", "Queued requests that were sent", &QueueStatistics::sent},
    {"queue_left", "Queued requests that ended by themselves", &QueueStatistics::left},
    {"queue_probes", "Requests queued to test a prediction", &QueueStatistics::probes},
    {"queue_returned", "Requests that came back when they were told to",
     &QueueStatistics::returned},
};

std::uint64_t to_milliseconds(Duration span) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(span).count());
}

void add_waits(const std::string& name, const gateway::LatencyHistogram& waits,
               metrics::SampleSink& sink) {
  for (std::size_t i = 0; i != gateway::LatencyHistogram::kBounds.size(); ++i) {
    sink.counter({name + "_bucket", "Waits of queued requests that were sent"},
                 static_cast<double>(waits.counts()[i]),
                 {{"le", std::to_string(gateway::LatencyHistogram::kBounds[i])}});
  }
  sink.counter({name + "_count", "Waits counted"}, static_cast<double>(waits.count()));
  sink.counter({name + "_sum", "Seconds waited, added up"}, waits.sum());
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

AdmissionQueue::Line& AdmissionQueue::line_of(const ServiceName& service) {
  std::unique_ptr<Line>& line = lines_[service];
  if (!line) {
    line = std::make_unique<Line>(surroundings_.timers);
  }
  return *line;
}

bool AdmissionQueue::has_waiting(const ServiceName& service) const {
  const auto found = lines_.find(service);
  return found != lines_.end() && !found->second->waiters.empty();
}

JoinResult AdmissionQueue::join(QueueRequest request, QueueWaiter& waiter) {
  const MonotonicTime now = surroundings_.clock.now();
  const ServiceName service = request.service;
  Line& line = line_of(service);
  JoinResult result;
  if (stopping_ && request.may_be_rejected()) {
    if (!request.room_seen) {
      result.rejection =
          make_rejection(service, line, waiter, QueueRejectReason::kStopping, Duration::zero());
    }
    return result;
  }
  RetrySchedule& returns = line.queue.returns();
  request.returned = request.sent_before ||
                     (!returns.empty() && returns.take(waiter.queue_fingerprint().low, now));
  statistics_.returned += request.returned && !request.sent_before ? 1 : 0;
  const Handle handle = next_++;
  const JoinDecision decision = line.queue.join(handle, request, limits_, now);
  if (!decision.admitted) {
    if (!request.room_seen) {
      result.rejection =
          make_rejection(service, line, waiter, decision.reason, decision.predicted_wait);
    }
    return result;
  }
  ++statistics_.queued;
  statistics_.probes += decision.probe ? 1 : 0;
  line.waiters[handle] = {&waiter, decision.predicted_wait};
  ++places_;
  result.place = std::make_unique<Place>(*this, service, handle);
  for (const Handle displaced : decision.displaced) {
    reject(service, line, displaced, QueueRejectReason::kDisplaced);
  }
  if (request.room_seen) {
    wake_now(service, line);
  } else {
    wake_later(service, line);
  }
  return result;
}

void AdmissionQueue::leave(const ServiceName& service, Handle handle) {
  Line& line = line_of(service);
  if (line.waiters.erase(handle) == 0) {
    return;
  }
  --places_;
  ++statistics_.left;
  line.queue.remove(handle, surroundings_.clock.now());
}

void AdmissionQueue::note_attempt_ended(const ServiceName& service, bool completed) {
  const auto found = lines_.find(service);
  if (found == lines_.end()) {
    return;
  }
  Line& line = *found->second;
  if (completed) {
    line.queue.note_completion(surroundings_.clock.now());
  }
  if (!line.waiters.empty()) {
    wake_now(service, line);
  }
}

/// Not inside the call: whoever calls is in the middle of a request of its own.
void AdmissionQueue::wake_now(const ServiceName& service, Line& line) {
  if (!std::exchange(line.due_at_once, true)) {
    line.timer.arm(Duration::zero(), [this, service] { on_wake(service); });
  }
}

void AdmissionQueue::wake_later(const ServiceName& service, Line& line) {
  if (line.timer.armed()) {
    return;
  }
  const Duration interval = std::clamp<Duration>(kWakeIntervalPerNode * surroundings_.node_count(),
                                                 kLeastWakeInterval, kLongestWakeInterval);
  Duration delay = surroundings_.random.jitter(interval, kWakeJitter);
  const MonotonicTime now = surroundings_.clock.now();
  if (const auto due = line.queue.line().next_due_after(now + ServiceQueue::kExpiryMargin)) {
    delay = std::min<Duration>(delay, *due - ServiceQueue::kExpiryMargin - now);
  }
  line.timer.arm(delay, [this, service] { on_wake(service); });
}

void AdmissionQueue::on_wake(const ServiceName& service) {
  Line& line = line_of(service);
  line.due_at_once = false;
  reject_expired(service, line);
  std::uint32_t sent = 0;
  while (sent != line.batch && send_first(line)) {
    ++sent;
  }
  line.batch = sent == line.batch ? std::min(2 * line.batch, kMostBatch) : 1;
  if (!line.waiters.empty()) {
    wake_later(service, line);
  }
}

/// A request for which there is no room does not keep those of other classes from theirs: a long
/// prompt may find none where a short one does.
bool AdmissionQueue::send_first(Line& line) {
  for (const Handle handle : line.queue.line().heads(surroundings_.clock.now())) {
    const auto found = line.waiters.find(handle);
    if (found == line.waiters.end()) {
      continue;
    }
    const Waiting waiting = found->second;
    const MonotonicTime joined = line.queue.line().joined(handle);
    if (waiting.waiter->try_dispatch() == DispatchResult::kLeftQueue) {
      note_sent(line, handle, joined, waiting.predicted_wait);
      return true;
    }
  }
  return false;
}

/// Its session may have ended inside its turn, and given up its place.
void AdmissionQueue::note_sent(Line& line, Handle handle, MonotonicTime joined,
                               Duration predicted) {
  const MonotonicTime now = surroundings_.clock.now();
  if (!line.queue.serve(handle, now)) {
    return;
  }
  line.waiters.erase(handle);
  --places_;
  ++statistics_.sent;
  statistics_.predicted_wait.note(predicted);
  statistics_.actual_wait.note(now - joined);
}

void AdmissionQueue::reject_expired(const ServiceName& service, Line& line) {
  const MonotonicTime until = surroundings_.clock.now() + ServiceQueue::kExpiryMargin;
  for (const Handle handle : line.queue.line().due_by(until)) {
    reject(service, line, handle, QueueRejectReason::kExpired);
  }
}

void AdmissionQueue::reject(const ServiceName& service, Line& line, Handle handle,
                            QueueRejectReason reason) {
  const auto found = line.waiters.find(handle);
  if (found == line.waiters.end() || !line.queue.line().may_be_rejected(handle)) {
    return;
  }
  const Waiting waiting = found->second;
  line.waiters.erase(found);
  --places_;
  line.queue.remove(handle, surroundings_.clock.now());
  waiting.waiter->on_rejected(
      make_rejection(service, line, *waiting.waiter, reason, waiting.predicted_wait));
}

/// A stopping node has nothing to tell of later: other nodes serve the request now.
QueueRejection AdmissionQueue::make_rejection(const ServiceName& service, Line& line,
                                              QueueWaiter& waiter, QueueRejectReason reason,
                                              Duration predicted) {
  const ReasonRow& row = row_of(reason);
  ++(statistics_.*row.count);
  QueueRejection rejection{.reason = reason, .predicted_wait = predicted};
  if (reason != QueueRejectReason::kStopping) {
    rejection.retry_after = line.queue.retry_after(waiter.queue_fingerprint().low,
                                                   surroundings_.random, surroundings_.clock.now());
  }
  surroundings_.logger.write({logging::Level::kInfo,
                              "queue",
                              "request rejected",
                              {{"service", service.value()},
                               {"reason", std::string(row.name)},
                               {"fingerprint", waiter.queue_fingerprint().to_hex()},
                               {"predicted_wait_ms", to_milliseconds(predicted)},
                               {"retry_after_ms", to_milliseconds(rejection.retry_after)},
                               {"queued", static_cast<std::uint64_t>(line.waiters.size())}}});
  return rejection;
}

void AdmissionQueue::stop() {
  stopping_ = true;
  for (const auto& [service, line] : lines_) {
    for (const Handle handle : line->queue.line().rejectable()) {
      reject(service, *line, handle, QueueRejectReason::kStopping);
    }
  }
}

void AdmissionQueue::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  for (const ReasonRow& row : kReasons) {
    sink.counter({"queue_rejected", "Requests that a queue turned away"},
                 static_cast<double>(statistics_.*row.count), {{"reason", row.name}});
  }
  add_waits("queue_predicted_wait_seconds", statistics_.predicted_wait, sink);
  add_waits("queue_wait_seconds", statistics_.actual_wait, sink);
  const MonotonicTime now = surroundings_.clock.now();
  for (const auto& [service, line] : lines_) {
    const WaitingLine& waiting = line->queue.line();
    const std::vector<metrics::Label> labels{{"service", service.value()}};
    sink.gauge({"queue_requests", "Requests that wait"}, static_cast<double>(waiting.size()),
               labels);
    sink.gauge({"queue_bytes", "Bytes of their bodies"}, static_cast<double>(waiting.bytes()),
               labels);
    sink.gauge({"queue_longest_wait_seconds", "Wait of the oldest of them"},
               waiting.oldest() ? to_seconds(now - *waiting.oldest()) : 0, labels);
  }
}

}  // namespace ochrespring::admission_queue
