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
/// Between two claims of one request's trial by one node, should the first not be granted.
constexpr Duration kClaimPause = seconds(1);
/// Between two tries to write to the store; nodes come apart by up to as much again.
constexpr Duration kSavePause = milliseconds(1000);
/// Requests that lack one end are written, too, lest a fleet that is killed as a whole forgets
/// them: of 120 fleets of 6 nodes under random faults 2 sent one 5 and 8 times after its third end
/// without it, none more than 3 times with it. The pause spares the store most of the innocent
/// ones, which are answered elsewhere meanwhile.
constexpr Duration kSuspectSave = milliseconds(150);
/// Nodes that did not see an end themselves leave the writing to those that did for this long.
constexpr Duration kOthersSave = seconds(3);
/// Requests written to the store at a time.
constexpr std::size_t kMostSaves = 8;
/// Nodes of a fleet that write what all of them might, on average. What is too old and left in the
/// store by all is learnt anew by the next node that starts, and forgotten later.
constexpr double kWriters = 3;
/// A server registers when it starts, and the latest with its next heartbeat (1.2 s as deployed): a
/// view that is current by then shows its new life.
constexpr Duration kLifeShown = milliseconds(1500);
/// Between two looks at whether a view shows that yet.
constexpr Duration kClearingPause = milliseconds(500);
/// Between two looks for what is too old.
constexpr Duration kSweepPause = seconds(5);

}  // namespace

Quarantine::Quarantine(World world, const QuarantineOptions& options, Links links)
    : world_(world),
      options_(options),
      ledger_(options.ledger),
      horizon_(world.clock.now(), options.ledger.suspicion_life),
      watch_(world.clock, world.timers, world.fleet, std::move(links.probe),
             [this](const auto& server, const auto& attempts) { note_ended(server, attempts); }),
      ask_horizon_(std::move(links.ask_horizon)),
      node_count_(std::move(links.node_count)),
      announcer_(world.clock, world.timers, ledger_, {}, std::move(links.tell)),
      relay_(world.clock, world.timers, ledger_,
             {.gather = options.relay_gather, .repeat_pauses = {}}, std::move(links.tell_zone)),
      store_(world.store, options.key_prefix),
      clearing_timer_(world.timers),
      save_timer_(world.timers),
      sweep_timer_(world.timers) {}

void Quarantine::start() {
  sweep_timer_.arm(kSweepPause, [this] {
    sweep();
    start();
  });
}

SendVerdict Quarantine::judge(const Request& request) {
  const MonotonicTime now = world_.clock.now();
  CrashLedger::Servers ended = watch_.may_have_ended(request);
  if (!ended.empty() && has_gap()) {
    ended.insert(kForgottenServer);
  }
  if (ledger_.standing(request, ended) != Standing::kQuarantined) {
    return SendVerdict::kAllowed;
  }
  ++counts_.refusals;
  ledger_.note_asked(request, now);
  if (ledger_.knows(request) && !ledger_.stored(request)) {
    save_later(request, kOthersSave);
  }
  const bool due = ledger_.until_trial(request, now) == Duration::zero();
  const auto claimed = claimed_at_.find(request);
  const bool claimed_lately = claimed != claimed_at_.end() && now - claimed->second < kClaimPause;
  return due && !claimed_lately ? SendVerdict::kTrialDue : SendVerdict::kRefused;
}

Duration Quarantine::retry_after(const Request& request) const {
  return ledger_.retry_after(request, world_.clock.now());
}

void Quarantine::claim_trial(const Request& request, std::function<void(bool granted)> done) {
  const MonotonicTime now = world_.clock.now();
  const auto report = ledger_.report(request, now);
  if (!report) {
    world_.timers.schedule_after(Duration::zero(), [done = std::move(done)] { done(false); });
    return;
  }
  claimed_at_[request] = now;
  store_.claim_trial(
      *report, [this, request, done = std::move(done)](const QuarantineStore::TrialClaim& claim) {
        ledger_.note_trial(request, claim.trials, world_.clock.now());
        log(claim.granted ? "quarantined request is tried again" : "trial not granted", request);
        if (claim.granted) {
          ++counts_.trials;
          ledger_.note_stored(request, true);
          announcer_.note_change(request);
        }
        done(claim.granted);
      });
}

void Quarantine::note_break(const gateway::BrokenAttempt& attempt) {
  // Callers that leave are many: only of a suspect is it worth a connection to learn more.
  if (attempt.kind != gateway::BreakKind::kAbandoned || ledger_.knows(attempt.request)) {
    watch_.note_break(attempt);
  }
}

void Quarantine::note_ended(const gateway::BackendId& server,
                            const std::vector<gateway::BrokenAttempt>& attempts) {
  const MonotonicTime now = world_.clock.now();
  ++counts_.ends_seen;
  world_.logger.write(
      {logging::Level::kWarning,
       kComponent,
       "server ended under requests",
       {{"backend", server.value()}, {"requests", static_cast<std::uint64_t>(attempts.size())}}});
  for (const gateway::BrokenAttempt& attempt : attempts) {
    const ServerEnd end{.server = server, .seen_by = options_.node};
    if (ledger_.note_end(attempt.request, attempt.service, end, now)) {
      if (has_gap()) {
        note_forgotten_end(attempt);
      }
      announcer_.note_change(attempt.request);
      review(attempt.request);
      if (quarantined_.contains(attempt.request)) {
        save_later(attempt.request, Duration::zero());
      } else if (ledger_.worth_storing(attempt.request)) {
        save_later(attempt.request, kSuspectSave);
      }
    }
  }
}

/// The end that was seen may be the third and be taken for the first. One end counts as known to
/// have been before, until the request is answered.
void Quarantine::note_forgotten_end(const gateway::BrokenAttempt& attempt) {
  const ServerEnd end{.server = kForgottenServer, .seen_by = options_.node};
  ledger_.note_end(attempt.request, attempt.service, end, world_.clock.now());
}

/// What has been answered does not end its server. And a server that answers an attempt begun after
/// its end has not ended: a way to it was cut.
void Quarantine::note_answer(const gateway::AnsweredAttempt& attempt) {
  if (ledger_.excuse(attempt.request)) {
    announcer_.note_change(attempt.request);
    remove_stored(attempt.request);
    review(attempt.request);
  }
  if (ledger_.held_against(attempt.backend, attempt.started).empty()) {
    return;
  }
  if (gateway::has_incarnation(attempt.backend)) {
    clear_later(attempt.backend, attempt.started);
  } else {
    clear(attempt.backend, attempt.started);
  }
}

void Quarantine::clear(const gateway::BackendId& server, MonotonicTime started) {
  const std::vector<Request> held = ledger_.held_against(server, started);
  if (held.empty()) {
    return;
  }
  ledger_.excuse_server(server);
  for (const Request& request : held) {
    announcer_.note_change(request);
    review(request);
  }
}

/// A server that started again under its name answers to the name before the view shows its new
/// life. Taken for the one that had ended, it cleared the request under which it had: that reached
/// six servers more.
void Quarantine::clear_later(const gateway::BackendId& server, MonotonicTime started) {
  unclear_.try_emplace(server, UnclearEnd{.started = started, .answered = world_.clock.now()});
  if (!clearing_timer_.armed()) {
    clearing_timer_.arm(kClearingPause, [this] { settle_unclear(); });
  }
}

void Quarantine::settle_unclear() {
  const auto current_at = world_.fleet.current_at();
  for (auto entry = unclear_.begin(); entry != unclear_.end();) {
    const auto& [server, end] = *entry;
    const bool shown = current_at && *current_at >= end.answered + kLifeShown;
    if (!shown) {
      ++entry;
      continue;
    }
    if (world_.fleet.find(server) != nullptr) {
      clear(server, end.started);
    }
    entry = unclear_.erase(entry);
  }
  if (!unclear_.empty()) {
    clearing_timer_.arm(kClearingPause, [this] { settle_unclear(); });
  }
}

void Quarantine::take(const CrashNews& news) {
  merge(news);
}

void Quarantine::take_to_relay(const CrashNews& news) {
  merge(news);
  for (const CrashReport& report : news.reports) {
    relay_.note_change(report.request);
  }
}

void Quarantine::merge(const CrashNews& news) {
  const MonotonicTime now = world_.clock.now();
  for (const CrashReport& report : news.reports) {
    if (ledger_.merge(report, now)) {
      review(report.request);
    }
  }
  settle_horizon();
}

void Quarantine::take(const HorizonReport& told) {
  horizon_.take(told, world_.clock.now());
  settle_horizon();
}

void Quarantine::settle_horizon() {
  if (horizon_.is_unsettled()) {
    horizon_.settle(held());
  }
}

std::size_t Quarantine::held() const {
  return ledger_.count(Standing::kSuspected) + ledger_.count(Standing::kQuarantined);
}

/// Where the fleet has never run nothing was forgotten.
void Quarantine::on_first_listing() {
  if (!mark_found_) {
    horizon_.note_complete(world_.clock.now());
    mark_fleet();
  }
}

void Quarantine::mark_fleet() {
  mark_due_ = true;
  store_.mark_fleet([this](bool marked) { mark_due_ = !marked; });
}

void Quarantine::review(const Request& request) {
  const bool guilty = ledger_.standing(request) == Standing::kQuarantined;
  if (!guilty) {
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

/// Every node knows what is stored, so any may have to write it; most find that another has.
void Quarantine::on_store_set_back() {
  mark_due_ = mark_due_ || is_chosen();
  for (const Request& request : ledger_.forget_stored()) {
    save_later(request, kSavePause);
  }
}

void Quarantine::on_store_answer() {
  if (std::exchange(save_failed_, false) && !unsaved_.empty()) {
    save_timer_.arm(Duration::zero(), [this] { save(); });
  }
}

void Quarantine::save_later(const Request& request, Duration pause) {
  unsaved_.insert(request);
  if (!save_timer_.armed() || pause == Duration::zero()) {
    save_timer_.arm(pause + world_.random.part_of(pause), [this] { save(); });
  }
}

void Quarantine::save() {
  std::size_t calls = 0;
  for (const Request& request : std::exchange(unsaved_, {})) {
    if (calls == kMostSaves) {
      save_later(request, kSavePause);
      continue;
    }
    const auto report = ledger_.report(request, world_.clock.now());
    if (!report || report->stored || !ledger_.worth_storing(request)) {
      continue;
    }
    ++calls;
    store_.add(*report, [this, request](bool stored) {
      save_failed_ = !stored;
      if (!stored) {
        log("request not stored", request);
        save_later(request, kSavePause);
        return;
      }
      ledger_.note_stored(request, true);
      announcer_.note_change(request);
      if (!ledger_.worth_storing(request)) {
        // Answered while it was being written.
        remove_stored(request);
      }
    });
  }
}

void Quarantine::take_stored(const std::string& key, const std::optional<std::string>& value) {
  if (store_.is_fleet_mark(key)) {
    mark_found_ = value.has_value();
    return;
  }
  if (!store_.owns(key) || !value) {
    return;
  }
  auto report = wire::decode<CrashReport>(*value);
  if (!report) {
    world_.logger.write({logging::Level::kError,
                         kComponent,
                         "value of the store not understood",
                         {{"key", key}, {"reason", report.error().message}}});
    return;
  }
  // How long ago it was written is not known. Half of its life is left to it at most.
  report.value().asked_age =
      std::max(report.value().asked_age, options_.ledger.quarantine_life / 2);
  merge({{report.value()}});
}

bool Quarantine::is_chosen() {
  return world_.random.chance(kWriters / std::max<double>(kWriters, node_count_()));
}

void Quarantine::sweep() {
  const MonotonicTime now = world_.clock.now();
  // All nodes forget it at about the same time: some of them are enough.
  for (const Request& request : ledger_.drop_outdated(now)) {
    if (is_chosen()) {
      store_.remove(request);
    }
  }
  std::erase_if(quarantined_, [&](const Request& request) { return !ledger_.knows(request); });
  std::erase_if(claimed_at_, [&](const auto& claim) { return now - claim.second > kClaimPause; });
  if (has_gap()) {
    ask_horizon_();
  }
  if (mark_due_) {
    mark_fleet();
  }
}

void Quarantine::log(std::string_view message, const Request& request) const {
  const auto report = ledger_.report(request, world_.clock.now());
  std::string ends;
  for (const ServerEnd& end : report ? report->ends : std::vector<ServerEnd>()) {
    const auto age = std::chrono::duration_cast<milliseconds>(end.age).count();
    ends += (ends.empty() ? "" : " ") + end.server.value() + "@" + end.seen_by.value() + ":-" +
            std::to_string(age) + "ms" + (end.excused ? "(excused)" : "");
  }
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       std::string(message),
                       {{"fingerprint", request.to_hex()},
                        {"service", report ? report->service.value() : ""},
                        {"ends", ends},
                        {"trials", report ? std::uint64_t{report->trials} : 0},
                        {"stored", report && report->stored}}});
}

void Quarantine::add_metrics(metrics::SampleSink& sink) const {
  sink.gauge({"quarantined_requests", "Requests kept from servers"},
             static_cast<double>(quarantined_.size()));
  sink.gauge({"suspected_requests", "Requests that had a server when it ended"},
             static_cast<double>(ledger_.count(Standing::kSuspected)));
  sink.gauge({"crash_ledger_incomplete",
              "Whether ends of servers may have been forgotten, as all nodes were killed"},
             has_gap() ? 1 : 0);
  sink.counter({"server_ends_seen", "Servers that ended while they had requests of this node"},
               static_cast<double>(counts_.ends_seen));
  sink.counter({"server_end_probes", "Connections opened to learn whether a server has ended"},
               static_cast<double>(watch_.probes()));
  sink.counter({"quarantine_refusals", "Sends of quarantined requests refused"},
               static_cast<double>(counts_.refusals));
  sink.counter({"quarantine_trials", "Quarantined requests tried again by this node"},
               static_cast<double>(counts_.trials));
  sink.counter({"quarantine_entered", "Requests that came to be quarantined"},
               static_cast<double>(counts_.quarantined));
  sink.counter({"quarantine_released", "Requests that left quarantine"},
               static_cast<double>(counts_.released));
}

}  // namespace ochrespring::quarantine
