#include "admission/admission_control.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "metrics/counter_table.h"

namespace ochrespring::admission {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kComponent = "admission";
/// Callers who are told when to come back come over this part of the time they were told, so that
/// they do not all meet the back end's first moment.
constexpr double kJitterRatio = 0.25;
constexpr Duration kMinJitter = milliseconds(50);
constexpr Duration kMaxJitter = std::chrono::seconds(1);
/// Pauses that end this close together are the same news.
constexpr Duration kSameBackoffTolerance = milliseconds(500);
/// What another node tells is believed for no longer; then this node asks the back end itself.
constexpr Duration kMaxReportedBackoff = std::chrono::minutes(1);

constexpr metrics::CounterRow<AdmissionStatistics> kCounters[] = {
    {"backoffs_heard", "Answers in which a back end asked this node to back off",
     &AdmissionStatistics::backoffs_received},
    {"backoffs_unreadable", "Refusals whose time to back off could not be read",
     &AdmissionStatistics::backoffs_unreadable},
    {"backoffs_told", "Times other nodes told that a back end had asked them to back off",
     &AdmissionStatistics::backoffs_reported},
    {"leavings_heard", "Back ends that first said to this node that they leave",
     &AdmissionStatistics::departures_received},
    {"leavings_told", "Back ends that other nodes first told to be leaving",
     &AdmissionStatistics::departures_reported},
};

}  // namespace

bool AdmissionControl::has_room(const gateway::BackendId& backend, MonotonicTime now) const {
  return backoffs_.has_room(backend, now) && dependencies_.rate_limiter.has_room(backend, now);
}

gateway::ClaimResult AdmissionControl::claim(const gateway::BackendId& backend,
                                             gateway::SendRank rank,
                                             std::function<void(bool granted)> done) {
  if (!backoffs_.has_room(backend, dependencies_.clock.now())) {
    return gateway::ClaimResult::kDenied;
  }
  return dependencies_.rate_limiter.claim(backend, rank, std::move(done));
}

bool AdmissionControl::may_send(const gateway::BackendId& backend, MonotonicTime now) const {
  return !backoffs_.is_backing_off(backend, now) && !dependencies_.fleet.is_leaving(backend);
}

void AdmissionControl::note_send(const gateway::BackendId& backend, MonotonicTime now) {
  backoffs_.note_send(backend, now);
}

std::optional<gateway::RoomForecast> AdmissionControl::forecast(const ServiceName& service,
                                                                MonotonicTime now) const {
  std::optional<gateway::RoomForecast> earliest;
  const auto consider = [&](const gateway::BackendId& id) {
    const gateway::Backend* backend = dependencies_.fleet.find(id);
    if (backend == nullptr || backend->service != service ||
        dependencies_.fleet.is_leaving(*backend)) {
      return;
    }
    const Duration limited = dependencies_.rate_limiter.time_to_room(id, now);
    const Duration backoff = backoffs_.time_to_room(id, now);
    const gateway::RoomForecast room{.wait = std::max(limited, backoff),
                                     .backing_off = backoff >= limited};
    if (!earliest || room.wait < earliest->wait) {
      earliest = room;
    }
  };
  dependencies_.rate_limiter.for_each_closed(now, consider);
  backoffs_.for_each_without_room(now, consider);
  if (earliest) {
    earliest->wait += jitter(earliest->wait);
  }
  return earliest;
}

Duration AdmissionControl::jitter(Duration span) const {
  const Duration jitter = from_seconds(kJitterRatio * to_seconds(span));
  return dependencies_.random.part_of(std::clamp(jitter, kMinJitter, kMaxJitter));
}

void AdmissionControl::note_answer(const gateway::BackendAnswer& answer) {
  const gateway::BackendStatement& statement = answer.statement;
  dependencies_.rate_limiter.note_answer(
      {.backend = answer.backend, .sent = answer.sent, .statement = statement.rate_limit});
  if (statement.leaving) {
    note_leaving(answer.backend);
  } else if (statement.leaving_unreadable) {
    log("statement of leaving cannot be read", answer.backend, "answer", {});
  }
  if (statement.backoff.kind != gateway::BackoffStatement::Kind::kNone) {
    note_backoff(answer.backend, statement.backoff);
  } else if (!statement.not_run && backoffs_.note_good_answer(answer.backend, answer.sent)) {
    log("back end takes requests again", answer.backend, "answer", {});
  }
}

void AdmissionControl::note_backoff(const gateway::BackendId& backend,
                                    const gateway::BackoffStatement& backoff) {
  if (backoff.kind == gateway::BackoffStatement::Kind::kUnreadable) {
    ++statistics_.backoffs_unreadable;
    log("time to back off cannot be read", backend, backoff.text, {});
    return;
  }
  ++statistics_.backoffs_received;
  const MonotonicTime now = dependencies_.clock.now();
  if (!backoffs_.note_backoff(backend, backoff.span, now)) {
    return;
  }
  log("back end asks to back off", backend, "answer", backoff.span);
  const gateway::BackendLoad* load = dependencies_.loads.find(backend);
  const bool already_reported =
      load != nullptr && load->told_pause_until() + kSameBackoffTolerance >= now + backoff.span;
  if (!already_reported) {
    broadcast_({.backend = backend, .leaving = false, .backoff = backoff.span});
  }
}

void AdmissionControl::note_leaving(const gateway::BackendId& backend) {
  if (dependencies_.fleet.is_leaving(backend)) {
    return;
  }
  ++statistics_.departures_received;
  dependencies_.fleet.note_leaving(backend);
  log("back end says that it leaves", backend, "answer", {});
  broadcast_({.backend = backend, .leaving = true, .backoff = {}});
}

void AdmissionControl::receive(const BackendNotice& notice) {
  if (notice.leaving && !dependencies_.fleet.is_leaving(notice.backend)) {
    ++statistics_.departures_reported;
    dependencies_.fleet.note_leaving(notice.backend);
    log("back end says that it leaves", notice.backend, "node", {});
  }
  // Of a back end that has gone, or was not seen yet, nothing would ever be forgotten again.
  if (notice.backoff <= Duration::zero() || dependencies_.fleet.find(notice.backend) == nullptr) {
    return;
  }
  ++statistics_.backoffs_reported;
  const Duration backoff = std::min(notice.backoff, kMaxReportedBackoff);
  dependencies_.loads.of(notice.backend).note_told_pause(dependencies_.clock.now() + backoff);
}

void AdmissionControl::send_all(const std::function<void(const BackendNotice&)>& send) const {
  for (const gateway::BackendId& backend : dependencies_.fleet.leaving()) {
    const gateway::Backend* known = dependencies_.fleet.find(backend);
    // The store tells of those that are draining there.
    if (known != nullptr && !known->draining) {
      send({.backend = backend, .leaving = true, .backoff = {}});
    }
  }
  const MonotonicTime now = dependencies_.clock.now();
  backoffs_.for_each_without_room(now, [&](const gateway::BackendId& backend) {
    send({.backend = backend, .leaving = false, .backoff = backoffs_.time_to_room(backend, now)});
  });
}

void AdmissionControl::log(std::string_view message, const gateway::BackendId& backend,
                           std::string_view source, Duration span) const {
  dependencies_.logger.write(
      {logging::Level::kInfo,
       kComponent,
       std::string(message),
       {{"backend", backend.value()},
        {"source", std::string(source)},
        {"milliseconds",
         static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(span).count())}}});
}

void AdmissionControl::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  sink.gauge({"backends_backed_off", "Back ends that want nothing from this node for now"},
             static_cast<double>(backoffs_.active_count(dependencies_.clock.now())));
}

}  // namespace ochrespring::admission
