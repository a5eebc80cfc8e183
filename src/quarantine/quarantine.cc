#include "quarantine/quarantine.h"

#include <algorithm>
#include <utility>

#include "gateway/backend_incarnation.h"
#include "wire/codec.h"

namespace ochrespring::quarantine {

namespace {

using gateway::RequestFingerprint;
using gateway::SendVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kComponent = "quarantine";
/// Minimum interval between claims of one request's trial by the same node.
constexpr Duration kClaimInterval = seconds(1);
/// Delay between attempts to write to the store; jittered by up to the same amount, to spread the
/// writes of different nodes.
constexpr Duration kSaveRetryDelay = milliseconds(1000);
/// Delay before a request that is one termination short of quarantine is stored; most innocent
/// requests are answered by another back end in the meantime. Such requests are stored so that a
/// fleet that is killed as a whole does not forget them: without this, 2 of 120 simulated fleets of
/// 6 nodes under random faults sent a request 5 and 8 times after its third termination; with it,
/// none sent one more than 3 times.
constexpr Duration kSuspectSaveDelay = milliseconds(150);
/// Nodes that did not observe a termination wait this long for the observing nodes to write it.
constexpr Duration kNonObserverSaveDelay = seconds(3);
/// Maximum number of requests written to the store in one batch.
constexpr std::size_t kMaxSavesPerBatch = 8;
/// Expected number of nodes that make a write that any node could make. If no node removes an
/// expired request from the store, the next node that starts loads it and expires it later.
constexpr double kExpectedWriters = 3;
/// A back end registers when it starts, and at the latest with its next heartbeat (every 1.2 s as
/// deployed). A fleet view polled after this time shows its new incarnation.
constexpr Duration kRegistrationDelay = milliseconds(1500);
/// Interval at which pending excuses are checked against the fleet view.
constexpr Duration kExcuseCheckInterval = milliseconds(500);
/// Interval at which expired requests are dropped.
constexpr Duration kSweepInterval = seconds(5);

}  // namespace

Quarantine::Quarantine(Dependencies dependencies, const QuarantineOptions& options,
                       Callbacks callbacks)
    : dependencies_(dependencies),
      options_(options),
      ledger_(options.ledger),
      horizon_(dependencies.clock.now(), options.ledger.suspicion_ttl),
      detector_(dependencies.clock, dependencies.timers, dependencies.fleet,
                std::move(callbacks.probe),
                [this](const auto& backend, const auto& attempts) {
                  handle_termination(backend, attempts);
                }),
      request_horizon_(std::move(callbacks.request_horizon)),
      node_count_(std::move(callbacks.node_count)),
      announcer_(dependencies.clock, dependencies.timers, ledger_, {},
                 std::move(callbacks.broadcast)),
      relay_(dependencies.clock, dependencies.timers, ledger_,
             {.batch_window = options.relay_batch_window, .resend_delays = {}},
             std::move(callbacks.broadcast_to_zone)),
      store_(dependencies.store, options.key_prefix),
      excuse_timer_(dependencies.timers),
      save_timer_(dependencies.timers),
      sweep_timer_(dependencies.timers) {}

void Quarantine::start() {
  sweep_timer_.arm(kSweepInterval, [this] {
    sweep();
    start();
  });
}

SendVerdict Quarantine::check(const Request& request) {
  const MonotonicTime now = dependencies_.clock.now();
  CrashLedger::BackendIds suspected_backends = detector_.suspected_terminations(request);
  if (!suspected_backends.empty() && history_incomplete()) {
    suspected_backends.insert(kUnknownBackend);
  }
  if (ledger_.suspicion_level(request, suspected_backends) != SuspicionLevel::kQuarantined) {
    return SendVerdict::kAllowed;
  }
  ++counts_.quarantined_checks;
  ledger_.note_request(request, now);
  if (ledger_.contains(request) && !ledger_.stored(request)) {
    save_later(request, kNonObserverSaveDelay);
  }
  const bool due = ledger_.time_to_trial(request, now) == Duration::zero();
  const auto claimed = claimed_at_.find(request);
  const bool claimed_recently =
      claimed != claimed_at_.end() && now - claimed->second < kClaimInterval;
  return due && !claimed_recently ? SendVerdict::kTrialDue : SendVerdict::kRefused;
}

Duration Quarantine::retry_after(const Request& request) const {
  return ledger_.retry_after(request, dependencies_.clock.now());
}

void Quarantine::claim_trial(const Request& request, std::function<void(bool granted)> done) {
  const MonotonicTime now = dependencies_.clock.now();
  const auto report = ledger_.report(request, now);
  if (!report) {
    dependencies_.timers.schedule_after(Duration::zero(),
                                        [done = std::move(done)] { done(false); });
    return;
  }
  claimed_at_[request] = now;
  store_.claim_trial(
      *report, [this, request, done = std::move(done)](const QuarantineStore::TrialClaim& claim) {
        ledger_.note_trial(request, claim.trials, dependencies_.clock.now());
        log(claim.granted ? "quarantine trial started" : "quarantine trial not granted", request);
        if (claim.granted) {
          ++counts_.trials;
          ledger_.note_stored(request, true);
          announcer_.note_change(request);
        }
        done(claim.granted);
      });
}

void Quarantine::note_failure(const gateway::FailedAttempt& attempt) {
  // Callers disconnect often, so a probe is only worthwhile if the request is already suspected.
  if (attempt.kind != gateway::AttemptFailureKind::kAbandoned ||
      ledger_.contains(attempt.request)) {
    detector_.note_failed_attempt(attempt);
  }
}

void Quarantine::handle_termination(const gateway::BackendId& backend,
                                    const std::vector<gateway::FailedAttempt>& attempts) {
  const MonotonicTime now = dependencies_.clock.now();
  ++counts_.terminations_seen;
  dependencies_.logger.write(
      {logging::Level::kWarning,
       kComponent,
       "back end terminated while processing requests",
       {{"backend", backend.value()}, {"requests", static_cast<std::uint64_t>(attempts.size())}}});
  for (const gateway::FailedAttempt& attempt : attempts) {
    const BackendTermination termination{.backend = backend, .observer = options_.node};
    if (ledger_.note_termination(attempt.request, attempt.service, termination, now)) {
      if (history_incomplete()) {
        note_unknown_termination(attempt);
      }
      announcer_.note_change(attempt.request);
      update_quarantine(attempt.request);
      if (quarantined_.contains(attempt.request)) {
        save_later(attempt.request, Duration::zero());
      } else if (ledger_.should_store(attempt.request)) {
        save_later(attempt.request, kSuspectSaveDelay);
      }
    }
  }
}

/// Counts one unknown termination in addition to the observed one, until the request is answered:
/// the observed one may be the third although it is the first in the ledger.
void Quarantine::note_unknown_termination(const gateway::FailedAttempt& attempt) {
  const BackendTermination termination{.backend = kUnknownBackend, .observer = options_.node};
  ledger_.note_termination(attempt.request, attempt.service, termination,
                           dependencies_.clock.now());
}

/// An answered request does not crash its back end. A back end that answers an attempt begun after
/// its recorded termination has not terminated: only the connection to it was interrupted.
void Quarantine::note_answer(const gateway::AnsweredAttempt& attempt) {
  if (ledger_.excuse(attempt.request)) {
    announcer_.note_change(attempt.request);
    remove_stored(attempt.request);
    update_quarantine(attempt.request);
  }
  if (ledger_.suspects_for(attempt.backend, attempt.started).empty()) {
    return;
  }
  if (gateway::has_incarnation(attempt.backend)) {
    excuse_after_view_update(attempt.backend, attempt.started);
  } else {
    excuse_backend(attempt.backend, attempt.started);
  }
}

void Quarantine::excuse_backend(const gateway::BackendId& backend, MonotonicTime started) {
  const std::vector<Request> suspects = ledger_.suspects_for(backend, started);
  if (suspects.empty()) {
    return;
  }
  ledger_.excuse_backend(backend);
  for (const Request& request : suspects) {
    announcer_.note_change(request);
    update_quarantine(request);
  }
}

/// A back end that restarted under the same name may answer before the fleet view shows its new
/// incarnation. Excusing it at once would clear the request that crashed the earlier incarnation,
/// which can then reach further back ends (six were observed).
void Quarantine::excuse_after_view_update(const gateway::BackendId& backend,
                                          MonotonicTime started) {
  pending_excuses_.try_emplace(
      backend, PendingExcuse{.started = started, .answered = dependencies_.clock.now()});
  if (!excuse_timer_.armed()) {
    excuse_timer_.arm(kExcuseCheckInterval, [this] { process_pending_excuses(); });
  }
}

void Quarantine::process_pending_excuses() {
  const auto current_at = dependencies_.fleet.current_at();
  for (auto entry = pending_excuses_.begin(); entry != pending_excuses_.end();) {
    const auto& [backend, excuse] = *entry;
    const bool view_is_current = current_at && *current_at >= excuse.answered + kRegistrationDelay;
    if (!view_is_current) {
      ++entry;
      continue;
    }
    if (dependencies_.fleet.find(backend) != nullptr) {
      excuse_backend(backend, excuse.started);
    }
    entry = pending_excuses_.erase(entry);
  }
  if (!pending_excuses_.empty()) {
    excuse_timer_.arm(kExcuseCheckInterval, [this] { process_pending_excuses(); });
  }
}

void Quarantine::receive(const CrashReportBatch& batch) {
  merge(batch);
}

void Quarantine::receive_for_relay(const CrashReportBatch& batch) {
  merge(batch);
  for (const CrashReport& report : batch.reports) {
    relay_.note_change(report.request);
  }
}

void Quarantine::merge(const CrashReportBatch& batch) {
  const MonotonicTime now = dependencies_.clock.now();
  for (const CrashReport& report : batch.reports) {
    if (ledger_.merge(report, now)) {
      update_quarantine(report.request);
    }
  }
  apply_pending_horizon();
}

void Quarantine::receive(const HorizonReport& report) {
  horizon_.receive(report, dependencies_.clock.now());
  apply_pending_horizon();
}

void Quarantine::apply_pending_horizon() {
  if (horizon_.has_pending_report()) {
    horizon_.apply_pending_report(suspect_count());
  }
}

std::size_t Quarantine::suspect_count() const {
  return ledger_.count(SuspicionLevel::kSuspected) + ledger_.count(SuspicionLevel::kQuarantined);
}

/// If the fleet has never run, no earlier terminations can be missing.
void Quarantine::on_first_listing() {
  if (!fleet_marker_found_) {
    horizon_.mark_complete(dependencies_.clock.now());
    write_fleet_marker();
  }
}

void Quarantine::write_fleet_marker() {
  fleet_marker_due_ = true;
  store_.write_fleet_marker([this](bool marked) { fleet_marker_due_ = !marked; });
}

void Quarantine::update_quarantine(const Request& request) {
  const bool quarantined = ledger_.suspicion_level(request) == SuspicionLevel::kQuarantined;
  if (!quarantined) {
    release(request);
    return;
  }
  if (!quarantined_.insert(request).second) {
    return;
  }
  ++counts_.quarantined;
  log("request quarantined", request);
  if (quarantined_callback_) {
    quarantined_callback_(request);
  }
}

void Quarantine::release(const Request& request) {
  if (quarantined_.erase(request) == 0) {
    return;
  }
  ++counts_.released;
  log("request released from quarantine", request);
}

void Quarantine::remove_stored(const Request& request) {
  unsaved_.erase(request);
  if (ledger_.stored(request)) {
    ledger_.note_stored(request, false);
    store_.remove(request);
  }
}

/// Every node knows which requests are stored, so each schedules the write; most find that another
/// node has already made it.
void Quarantine::on_store_rolled_back() {
  fleet_marker_due_ = fleet_marker_due_ || is_selected_writer();
  for (const Request& request : ledger_.clear_stored()) {
    save_later(request, kSaveRetryDelay);
  }
}

void Quarantine::on_store_available() {
  if (std::exchange(save_failed_, false) && !unsaved_.empty()) {
    save_timer_.arm(Duration::zero(), [this] { save(); });
  }
}

void Quarantine::save_later(const Request& request, Duration delay) {
  unsaved_.insert(request);
  if (!save_timer_.armed() || delay == Duration::zero()) {
    save_timer_.arm(delay + dependencies_.random.part_of(delay), [this] { save(); });
  }
}

void Quarantine::save() {
  std::size_t saves = 0;
  for (const Request& request : std::exchange(unsaved_, {})) {
    if (saves == kMaxSavesPerBatch) {
      save_later(request, kSaveRetryDelay);
      continue;
    }
    const auto report = ledger_.report(request, dependencies_.clock.now());
    if (!report || report->stored || !ledger_.should_store(request)) {
      continue;
    }
    ++saves;
    store_.add(*report, [this, request](bool stored) {
      save_failed_ = !stored;
      if (!stored) {
        log("failed to store request in the shared store; will retry", request);
        save_later(request, kSaveRetryDelay);
        return;
      }
      ledger_.note_stored(request, true);
      announcer_.note_change(request);
      if (!ledger_.should_store(request)) {
        // The request was answered while it was being written.
        remove_stored(request);
      }
    });
  }
}

void Quarantine::apply_store_change(const std::string& key,
                                    const std::optional<std::string>& value) {
  if (store_.is_fleet_marker(key)) {
    fleet_marker_found_ = value.has_value();
    return;
  }
  if (!store_.is_request_key(key) || !value) {
    return;
  }
  auto report = wire::decode<CrashReport>(*value);
  if (!report) {
    dependencies_.logger.write({logging::Level::kError,
                                kComponent,
                                "cannot decode value in the shared store",
                                {{"key", key}, {"reason", report.error().message}}});
    return;
  }
  // The time of the write is unknown, so the last request counts as at least half a TTL old. This
  // has no effect on a request that is new to the ledger, which is kept for its whole TTL.
  report.value().last_request_age =
      std::max(report.value().last_request_age, options_.ledger.quarantine_ttl / 2);
  merge({{report.value()}});
}

bool Quarantine::is_selected_writer() {
  return dependencies_.random.chance(kExpectedWriters /
                                     std::max<double>(kExpectedWriters, node_count_()));
}

void Quarantine::sweep() {
  const MonotonicTime now = dependencies_.clock.now();
  // All nodes expire the request at about the same time; a few of them remove it from the store.
  for (const Request& request : ledger_.drop_expired(now)) {
    if (is_selected_writer()) {
      store_.remove(request);
    }
  }
  std::erase_if(quarantined_, [&](const Request& request) { return !ledger_.contains(request); });
  std::erase_if(claimed_at_,
                [&](const auto& claim) { return now - claim.second > kClaimInterval; });
  if (history_incomplete()) {
    request_horizon_();
  }
  if (fleet_marker_due_) {
    write_fleet_marker();
  }
}

void Quarantine::log(std::string_view message, const Request& request) const {
  const auto report = ledger_.report(request, dependencies_.clock.now());
  std::string terminations;
  for (const BackendTermination& termination :
       report ? report->terminations : std::vector<BackendTermination>()) {
    const auto age = std::chrono::duration_cast<milliseconds>(termination.age).count();
    terminations += (terminations.empty() ? "" : " ") + termination.backend.value() + "@" +
                    termination.observer.value() + ":-" + std::to_string(age) + "ms" +
                    (termination.excused ? "(excused)" : "");
  }
  dependencies_.logger.write({logging::Level::kWarning,
                              kComponent,
                              std::string(message),
                              {{"fingerprint", request.to_hex()},
                               {"service", report ? report->service.value() : ""},
                               {"ends", terminations},
                               {"trials", report ? std::uint64_t{report->trials} : 0},
                               {"stored", report && report->stored}}});
}

void Quarantine::add_metrics(metrics::SampleSink& sink) const {
  sink.gauge({"quarantined_requests", "Requests in quarantine"},
             static_cast<double>(quarantined_.size()));
  sink.gauge(
      {"suspected_requests", "Requests during which a back end terminated, not in quarantine"},
      static_cast<double>(ledger_.count(SuspicionLevel::kSuspected)));
  sink.gauge(
      {"crash_ledger_incomplete",
       "1 if earlier terminations of back ends may be missing, as after all nodes were killed"},
      history_incomplete() ? 1 : 0);
  sink.counter(
      {"server_ends_seen", "Back ends that terminated while processing requests of this node"},
      static_cast<double>(counts_.terminations_seen));
  sink.counter(
      {"server_end_probes", "Connections opened to check whether a back end has terminated"},
      static_cast<double>(detector_.probes()));
  sink.counter({"quarantine_refusals",
                "Checks before a send that found the request quarantined, also if a trial was due"},
               static_cast<double>(counts_.quarantined_checks));
  sink.counter({"quarantine_trials", "Trials of quarantined requests by this node"},
               static_cast<double>(counts_.trials));
  sink.counter({"quarantine_entered", "Requests that entered quarantine"},
               static_cast<double>(counts_.quarantined));
  sink.counter({"quarantine_released", "Requests that left quarantine"},
               static_cast<double>(counts_.released));
}

}  // namespace ochrespring::quarantine
