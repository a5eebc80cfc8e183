#include "quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
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
/// deployed), if the store answers then. A fleet view polled after this time shows its new
/// incarnation.
constexpr Duration kRegistrationDelay = milliseconds(1500);
/// Interval at which pending excuses are checked against the fleet view.
constexpr Duration kExcuseCheckInterval = milliseconds(500);
/// An answer excuses a prompt part for back ends that terminated at most this long after the
/// attempt began. Longer than most answers take.
constexpr Duration kAnswerOverlap = seconds(1);
/// Additional delay of a trial of several quarantined parts at once: trials of one part alone tell
/// more and come first.
constexpr Duration kJointTrialDelay = seconds(2);
constexpr std::uint16_t kFirstServerError = 500;
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

std::vector<RequestFingerprint> Quarantine::quarantined_of(
    const gateway::RequestIdentity& identity) const {
  std::vector<Request> found;
  CrashLedger::BackendIds suspected_backends =
      detector_.suspected_terminations(identity.fingerprint);
  if (!suspected_backends.empty() && history_incomplete()) {
    suspected_backends.insert(kUnknownBackend);
  }
  identity.for_each([&](const Request& request) {
    if (ledger_.suspicion_level(request, suspected_backends) == SuspicionLevel::kQuarantined) {
      found.push_back(request);
    }
  });
  std::stable_sort(found.begin(), found.end(), [this](const Request& left, const Request& right) {
    return ledger_.counted_terminations(left) > ledger_.counted_terminations(right);
  });
  return found;
}

bool Quarantine::is_trial_due(const Request& request, Duration patience) const {
  const MonotonicTime now = dependencies_.clock.now();
  const auto claimed = claimed_at_.find(request);
  const bool claimed_recently =
      claimed != claimed_at_.end() && now - claimed->second < kClaimInterval;
  return !claimed_recently && ledger_.time_to_trial(request, now - patience) == Duration::zero();
}

SendVerdict Quarantine::check(const gateway::RequestIdentity& identity) {
  const std::vector<Request> quarantined = quarantined_of(identity);
  if (quarantined.empty()) {
    return SendVerdict::kAllowed;
  }
  ++counts_.quarantined_checks;
  for (const Request& request : quarantined) {
    ledger_.note_request(request, dependencies_.clock.now());
    if (ledger_.contains(request) && !ledger_.stored(request)) {
      save_later(request, kNonObserverSaveDelay);
    }
  }
  // A request that may itself have crashed back ends would tell little about a part.
  if (ledger_.counted_terminations(identity.fingerprint) != 0 &&
      std::any_of(quarantined.begin(), quarantined.end(),
                  [](const Request& request) { return request.is_prompt_part(); })) {
    return SendVerdict::kRefused;
  }
  const Duration patience = quarantined.size() == 1 ? Duration::zero() : kJointTrialDelay;
  const bool due = std::all_of(quarantined.begin(), quarantined.end(), [&](const Request& request) {
    return is_trial_due(request, patience);
  });
  return due ? SendVerdict::kTrialDue : SendVerdict::kRefused;
}

Duration Quarantine::retry_after(const gateway::RequestIdentity& identity) const {
  // A trial that is due is being claimed for another request, or no back end can take it.
  Duration longest = kClaimInterval;
  for (const Request& request : quarantined_of(identity)) {
    longest = std::max(longest, ledger_.retry_after(request, dependencies_.clock.now()));
  }
  return longest;
}

void Quarantine::claim_trial(const gateway::RequestIdentity& identity,
                             std::function<void(bool granted)> done) {
  claim_trials(quarantined_of(identity), std::move(done));
}

void Quarantine::claim_trials(std::vector<Request> requests,
                              std::function<void(bool granted)> done) {
  if (requests.empty()) {
    dependencies_.timers.schedule_after(Duration::zero(),
                                        [done = std::move(done)] { done(false); });
    return;
  }
  const Request first = requests.front();
  requests.erase(requests.begin());
  claim_single_trial(
      first, [this, rest = std::move(requests), done = std::move(done)](bool granted) mutable {
        if (granted && !rest.empty()) {
          claim_trials(std::move(rest), std::move(done));
        } else {
          done(granted);
        }
      });
}

void Quarantine::claim_single_trial(const Request& request,
                                    std::function<void(bool granted)> done) {
  const MonotonicTime now = dependencies_.clock.now();
  const auto report = ledger_.report(request, now);
  if (!report) {
    claim_trials({}, std::move(done));
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
  const std::vector<Request>& parts = attempt.request.parts;
  if (attempt.kind != gateway::AttemptFailureKind::kAbandoned ||
      ledger_.contains(attempt.request.fingerprint) ||
      std::any_of(parts.begin(), parts.end(), [this](const Request& part) {
        return ledger_.counted_terminations(part) != 0;
      })) {
    detector_.note_failed_attempt(attempt);
  }
}

void Quarantine::handle_termination(const gateway::BackendId& backend,
                                    const std::vector<gateway::FailedAttempt>& attempts) {
  ++counts_.terminations_seen;
  dependencies_.logger.write(
      {logging::Level::kWarning,
       kComponent,
       "back end terminated while processing requests",
       {{"backend", backend.value()}, {"requests", static_cast<std::uint64_t>(attempts.size())}}});
  for (const gateway::FailedAttempt& attempt : attempts) {
    attempt.request.for_each(
        [&](const Request& request) { note_termination(request, attempt.service, backend); });
  }
  update_parts();
}

void Quarantine::note_termination(const Request& request, const ServiceName& service,
                                  const gateway::BackendId& backend) {
  const BackendTermination termination{.backend = backend, .observer = options_.node};
  if (!ledger_.note_termination(request, service, termination, dependencies_.clock.now())) {
    return;
  }
  if (history_incomplete()) {
    note_unknown_termination(request, service);
  }
  announcer_.note_change(request);
  update_quarantine(request);
  if (quarantined_.contains(request)) {
    save_later(request, Duration::zero());
  } else if (ledger_.should_store(request)) {
    save_later(request, kSuspectSaveDelay);
  }
}

/// Counts one unknown termination in addition to the observed one, until the request is answered:
/// the observed one may be the third although it is the first in the ledger.
void Quarantine::note_unknown_termination(const Request& request, const ServiceName& service) {
  const BackendTermination termination{.backend = kUnknownBackend, .observer = options_.node};
  ledger_.note_termination(request, service, termination, dependencies_.clock.now());
}

/// An answered request does not crash its back end. A back end that answers an attempt begun after
/// its recorded termination has not terminated: only the connection to it was interrupted.
void Quarantine::note_answer(const gateway::AnsweredAttempt& attempt) {
  const Request& request = attempt.request.fingerprint;
  bool changed = false;
  // A back end that fails requests may answer before it runs them.
  if (attempt.status < kFirstServerError && ledger_.excuse(request)) {
    changed = true;
    announcer_.note_change(request);
    remove_stored(request);
    update_quarantine(request);
  }
  changed = excuse_parts(attempt) || changed;
  if (changed) {
    update_parts();
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

/// A part that has begun to crash back ends may still be answered in streams that began before.
/// Only a success shows that a back end has written an answer to the whole prompt. Returns whether
/// terminations were excused.
bool Quarantine::excuse_parts(const gateway::AnsweredAttempt& attempt) {
  bool changed = false;
  for (const Request& part : attempt.request.parts) {
    if (attempt.is_success() && ledger_.excuse_until(part, attempt.started + kAnswerOverlap)) {
      changed = true;
      announcer_.note_change(part);
      remove_stored(part);
    }
  }
  return changed;
}

void Quarantine::note_answered_parts(const std::vector<RequestFingerprint>& parts) {
  answered_parts_.note(parts, dependencies_.clock.now());
}

bool Quarantine::answered_lately(const Request& part) {
  return answered_parts_.contains(part, dependencies_.clock.now());
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
  update_parts();
}

/// A back end that restarted under the same name may answer before the fleet view shows its new
/// incarnation. Excusing it at once would clear the request that crashed the earlier incarnation,
/// which can then reach further back ends (six were observed). A back end that restarted while the
/// store was out of reach registers some time after the store has answered again.
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
    const MonotonicTime registers_from = std::max(excuse.answered, store_reachable_since_);
    const bool view_is_current =
        store_reachable_ && current_at && *current_at >= registers_from + kRegistrationDelay;
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
  bool changed = false;
  for (const CrashReport& report : batch.reports) {
    if (ledger_.merge(report, now)) {
      changed = true;
      update_quarantine(report.request);
    }
  }
  if (changed) {
    update_parts();
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
  if (request.is_prompt_part()) {
    return;
  }
  if (ledger_.suspicion_level(request) == SuspicionLevel::kQuarantined) {
    enter(request);
  } else {
    release(request);
  }
}

void Quarantine::update_parts() {
  ledger_.attribute_parts([this](const Request& part) { return answered_lately(part); });
  std::vector<Request> released;
  std::copy_if(quarantined_.begin(), quarantined_.end(), std::back_inserter(released),
               [this](const Request& request) {
                 return request.is_prompt_part() && !ledger_.quarantined_parts().contains(request);
               });
  for (const Request& part : released) {
    release(part);
  }
  // The callback may cause further changes of the ledger.
  const std::set<Request> entering = ledger_.quarantined_parts();
  for (const Request& part : entering) {
    enter(part);
  }
}

void Quarantine::enter(const Request& request) {
  if (!quarantined_.insert(request).second) {
    return;
  }
  ++counts_.quarantined;
  log(request.is_prompt_part() ? "prompt part quarantined" : "request quarantined", request);
  if (request.is_prompt_part() && has_observed(request)) {
    save_later(request, Duration::zero());
  }
  if (quarantined_callback_) {
    quarantined_callback_(request);
  }
}

/// Returns whether this node has observed a termination of the request.
bool Quarantine::has_observed(const Request& request) const {
  const auto report = ledger_.report(request, dependencies_.clock.now());
  return report && std::any_of(report->terminations.begin(), report->terminations.end(),
                               [this](const BackendTermination& termination) {
                                 return termination.observer == options_.node;
                               });
}

void Quarantine::release(const Request& request) {
  if (quarantined_.erase(request) == 0) {
    return;
  }
  ++counts_.released;
  log(request.is_prompt_part() ? "prompt part released from quarantine"
                               : "request released from quarantine",
      request);
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

void Quarantine::on_store_state(bool reachable) {
  store_reachable_ = reachable;
  store_reachable_since_ = dependencies_.clock.now();
}

void Quarantine::save_later(const Request& request, Duration delay) {
  unsaved_.insert(request);
  if (!save_timer_.armed() || delay == Duration::zero()) {
    save_timer_.arm(delay + dependencies_.random.part_of(delay), [this] { save(); });
  }
}

/// Parts that other requests are answered with are rarely the cause of terminations.
bool Quarantine::should_store(const Request& request) {
  return ledger_.should_store(request) &&
         (!request.is_prompt_part() || quarantined_.contains(request) || !answered_lately(request));
}

void Quarantine::save() {
  std::size_t saves = 0;
  for (const Request& request : std::exchange(unsaved_, {})) {
    if (saves == kMaxSavesPerBatch) {
      save_later(request, kSaveRetryDelay);
      continue;
    }
    const auto report = ledger_.report(request, dependencies_.clock.now());
    if (!report || report->stored || !should_store(request)) {
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
      if (!should_store(request)) {
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

std::size_t Quarantine::count(SuspicionLevel level, bool prompt_parts) const {
  const std::vector<Request> requests = ledger_.requests(level);
  return static_cast<std::size_t>(std::count_if(
      requests.begin(), requests.end(),
      [&](const Request& request) { return request.is_prompt_part() == prompt_parts; }));
}

void Quarantine::add_metrics(metrics::SampleSink& sink) const {
  sink.gauge({"quarantined_requests", "Requests in quarantine"},
             static_cast<double>(count(SuspicionLevel::kQuarantined, false)));
  sink.gauge(
      {"suspected_requests", "Requests during which a back end terminated, not in quarantine"},
      static_cast<double>(count(SuspicionLevel::kSuspected, false)));
  sink.gauge({"quarantined_prompt_parts", "Shared parts of prompts in quarantine"},
             static_cast<double>(count(SuspicionLevel::kQuarantined, true)));
  sink.gauge({"suspected_prompt_parts",
              "Shared parts of prompts during which a back end terminated, not in quarantine"},
             static_cast<double>(count(SuspicionLevel::kSuspected, true)));
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
