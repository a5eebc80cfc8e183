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
constexpr double kSpreadPart = 0.25;
constexpr Duration kLeastSpread = milliseconds(50);
constexpr Duration kMostSpread = std::chrono::seconds(1);
/// Pauses that end this close together are the same news.
constexpr Duration kSamePause = milliseconds(500);
/// What another node tells is believed for no longer; then this node asks the back end itself.
constexpr Duration kMostToldPause = std::chrono::minutes(1);

constexpr metrics::CounterRow<AdmissionStatistics> kCounters[] = {
    {"backoffs_heard", "Answers in which a back end asked this node to back off",
     &AdmissionStatistics::backoffs_heard},
    {"backoffs_unreadable", "Refusals whose time to back off could not be read",
     &AdmissionStatistics::backoffs_unreadable},
    {"backoffs_told", "Times other nodes told that a back end had asked them to back off",
     &AdmissionStatistics::backoffs_told},
    {"leavings_heard", "Back ends that first said to this node that they leave",
     &AdmissionStatistics::leavings_heard},
    {"leavings_told", "Back ends that other nodes first told to be leaving",
     &AdmissionStatistics::leavings_told},
};

}  // namespace

bool AdmissionControl::has_room(const gateway::BackendId& backend, MonotonicTime now) const {
  return backoffs_.has_room(backend, now) && world_.rate_limiter.has_room(backend, now);
}

gateway::ClaimResult AdmissionControl::claim(const gateway::BackendId& backend,
                                             gateway::SendRank rank,
                                             std::function<void(bool granted)> done) {
  if (!backoffs_.has_room(backend, world_.clock.now())) {
    return gateway::ClaimResult::kDenied;
  }
  return world_.rate_limiter.claim(backend, rank, std::move(done));
}

bool AdmissionControl::may_send(const gateway::BackendId& backend, MonotonicTime now) const {
  return !backoffs_.is_paused(backend, now) && !world_.fleet.is_leaving(backend);
}

void AdmissionControl::note_send(const gateway::BackendId& backend, MonotonicTime now) {
  backoffs_.note_send(backend, now);
}

std::optional<gateway::RoomForecast> AdmissionControl::forecast(const ServiceName& service,
                                                                MonotonicTime now) const {
  std::optional<gateway::RoomForecast> least;
  const auto consider = [&](const gateway::BackendId& id) {
    const gateway::Backend* backend = world_.fleet.find(id);
    if (backend == nullptr || backend->service != service || world_.fleet.is_leaving(*backend)) {
      return;
    }
    const Duration limited = world_.rate_limiter.time_to_room(id, now);
    const Duration paused = backoffs_.time_to_room(id, now);
    const gateway::RoomForecast room{.wait = std::max(limited, paused),
                                     .backing_off = paused >= limited};
    if (!least || room.wait < least->wait) {
      least = room;
    }
  };
  world_.rate_limiter.for_each_closed(now, consider);
  backoffs_.for_each_closed(now, consider);
  if (least) {
    least->wait += spread(least->wait);
  }
  return least;
}

Duration AdmissionControl::spread(Duration span) const {
  const Duration part = from_seconds(kSpreadPart * to_seconds(span));
  return world_.random.part_of(std::clamp(part, kLeastSpread, kMostSpread));
}

void AdmissionControl::note_answer(const gateway::BackendAnswer& answer) {
  const gateway::BackendStatement& said = answer.statement;
  world_.rate_limiter.note_answer(
      {.backend = answer.backend, .sent = answer.sent, .statement = said.rate_limit});
  if (said.leaving) {
    note_leaving(answer.backend);
  } else if (said.leaving_malformed) {
    log("statement of leaving cannot be read", answer.backend, "answer", {});
  }
  if (said.backoff.kind != gateway::BackoffStatement::Kind::kNone) {
    note_backoff(answer.backend, said.backoff);
  } else if (!said.not_run && backoffs_.note_good_answer(answer.backend, answer.sent)) {
    log("back end takes requests again", answer.backend, "answer", {});
  }
}

void AdmissionControl::note_backoff(const gateway::BackendId& backend,
                                    const gateway::BackoffStatement& backoff) {
  if (backoff.kind == gateway::BackoffStatement::Kind::kMalformed) {
    ++statistics_.backoffs_unreadable;
    log("time to back off cannot be read", backend, backoff.text, {});
    return;
  }
  ++statistics_.backoffs_heard;
  const MonotonicTime now = world_.clock.now();
  if (!backoffs_.note(backend, backoff.span, now)) {
    return;
  }
  log("back end asks to back off", backend, "answer", backoff.span);
  const gateway::BackendLoad* load = world_.loads.find(backend);
  const bool known_to_all =
      load != nullptr && load->peer_backoff_until() + kSamePause >= now + backoff.span;
  if (!known_to_all) {
    tell_all_({.backend = backend, .leaving = false, .backoff = backoff.span});
  }
}

void AdmissionControl::note_leaving(const gateway::BackendId& backend) {
  if (world_.fleet.is_leaving(backend)) {
    return;
  }
  ++statistics_.leavings_heard;
  world_.fleet.note_leaving(backend);
  log("back end says that it leaves", backend, "answer", {});
  tell_all_({.backend = backend, .leaving = true, .backoff = {}});
}

void AdmissionControl::take(const BackendNotice& notice) {
  if (notice.leaving && !world_.fleet.is_leaving(notice.backend)) {
    ++statistics_.leavings_told;
    world_.fleet.note_leaving(notice.backend);
    log("back end says that it leaves", notice.backend, "node", {});
  }
  // Of a back end that has gone, or was not seen yet, nothing would ever be forgotten again.
  if (notice.backoff <= Duration::zero() || world_.fleet.find(notice.backend) == nullptr) {
    return;
  }
  ++statistics_.backoffs_told;
  const Duration believed = std::min(notice.backoff, kMostToldPause);
  world_.loads.find_or_create(notice.backend).note_peer_backoff(world_.clock.now() + believed);
}

void AdmissionControl::tell_all(const std::function<void(const BackendNotice&)>& send) const {
  for (const gateway::BackendId& backend : world_.fleet.leaving()) {
    const gateway::Backend* known = world_.fleet.find(backend);
    // The store tells of those that are draining there.
    if (known != nullptr && !known->draining) {
      send({.backend = backend, .leaving = true, .backoff = {}});
    }
  }
  const MonotonicTime now = world_.clock.now();
  backoffs_.for_each_closed(now, [&](const gateway::BackendId& backend) {
    send({.backend = backend, .leaving = false, .backoff = backoffs_.time_to_room(backend, now)});
  });
}

void AdmissionControl::log(std::string_view message, const gateway::BackendId& backend,
                           std::string_view source, Duration span) const {
  world_.logger.write(
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
             static_cast<double>(backoffs_.pause_count(world_.clock.now())));
}

}  // namespace ochrespring::admission
