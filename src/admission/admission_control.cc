#include "admission/admission_control.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "metrics/counter_table.h"

namespace ochrespring::admission {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kComponent = "admission";
/// Random part added to the forecast wait, so that callers do not all return at the moment at which
/// the back end accepts requests again.
constexpr double kJitterRatio = 0.25;
constexpr Duration kMinJitter = milliseconds(50);
constexpr Duration kMaxJitter = std::chrono::seconds(1);
/// Backoffs whose ends differ by at most this are treated as the same.
constexpr Duration kSameBackoffTolerance = milliseconds(500);
/// Upper bound of the time for which a backoff reported by another node makes a back end less
/// preferred.
constexpr Duration kMaxReportedBackoff = std::chrono::minutes(1);

constexpr metrics::CounterRow<AdmissionStatistics> kCounters[] = {
    {"backoffs_heard", "Answers in which a back end asked this node to back off",
     &AdmissionStatistics::backoffs_received},
    {"backoffs_unreadable", "Refusals whose backoff period could not be parsed",
     &AdmissionStatistics::backoffs_unreadable},
    {"backoffs_told", "Backoffs of back ends reported by other nodes",
     &AdmissionStatistics::backoffs_reported},
    {"leavings_heard", "Back ends that announced to this node first that they are leaving",
     &AdmissionStatistics::leaving_received},
    {"leavings_told", "Back ends first reported as leaving by another node",
     &AdmissionStatistics::leaving_reported},
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
  } else if (statement.leaving_malformed) {
    log("cannot parse leaving announcement", answer.backend, "answer", {});
  }
  if (statement.backoff.kind != gateway::BackoffStatement::Kind::kNone) {
    note_backoff(answer.backend, statement.backoff);
  } else if (!statement.not_run && backoffs_.note_good_answer(answer.backend, answer.sent)) {
    log("back end has recovered from backoff", answer.backend, "answer", {});
  }
}

void AdmissionControl::note_backoff(const gateway::BackendId& backend,
                                    const gateway::BackoffStatement& backoff) {
  if (backoff.kind == gateway::BackoffStatement::Kind::kMalformed) {
    ++statistics_.backoffs_unreadable;
    log("cannot parse backoff period", backend, backoff.text, {});
    return;
  }
  ++statistics_.backoffs_received;
  const MonotonicTime now = dependencies_.clock.now();
  if (!backoffs_.note_backoff(backend, backoff.span, now)) {
    return;
  }
  log("back end asked to back off", backend, "answer", backoff.span);
  const gateway::BackendLoad* load = dependencies_.loads.find(backend);
  const bool already_reported =
      load != nullptr && load->peer_backoff_until() + kSameBackoffTolerance >= now + backoff.span;
  if (!already_reported) {
    broadcast_({.backend = backend, .leaving = false, .backoff = backoff.span});
  }
}

void AdmissionControl::note_leaving(const gateway::BackendId& backend) {
  if (dependencies_.fleet.is_leaving(backend)) {
    return;
  }
  ++statistics_.leaving_received;
  dependencies_.fleet.note_leaving(backend);
  log("back end is leaving", backend, "answer", {});
  broadcast_({.backend = backend, .leaving = true, .backoff = {}});
}

void AdmissionControl::receive(const BackendNotice& notice) {
  if (notice.leaving && !dependencies_.fleet.is_leaving(notice.backend)) {
    ++statistics_.leaving_reported;
    dependencies_.fleet.note_leaving(notice.backend);
    log("back end is leaving", notice.backend, "node", {});
  }
  // For a back end that is not in the fleet view, the load entry would never be removed.
  if (notice.backoff <= Duration::zero() || dependencies_.fleet.find(notice.backend) == nullptr) {
    return;
  }
  ++statistics_.backoffs_reported;
  const Duration backoff = std::min(notice.backoff, kMaxReportedBackoff);
  dependencies_.loads.find_or_create(notice.backend)
      .note_peer_backoff(dependencies_.clock.now() + backoff);
}

void AdmissionControl::send_all(const std::function<void(const BackendNotice&)>& send) const {
  for (const gateway::BackendId& backend : dependencies_.fleet.leaving()) {
    const gateway::Backend* known = dependencies_.fleet.find(backend);
    // Back ends that are draining are shown as such by the store.
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
  sink.gauge({"backends_backed_off", "Back ends that are in a backoff period asked of this node"},
             static_cast<double>(backoffs_.active_count(dependencies_.clock.now())));
}

}  // namespace ochrespring::admission
