#include "duties/duty_lease.h"

#include <algorithm>
#include <utility>

#include "statechart/chart_library.h"
#include "wire/codec.h"

namespace ochrespring::duties {

namespace {

using shared_store::LeaseId;
using shared_store::StoreEra;
using shared_store::StoreErrc;
using shared_store::StoreError;
using shared_store::StoreRevision;

constexpr std::string_view kComponent = "duties";
/// How long a holder may be ineligible before it releases the lease. While many nodes join and
/// leave, their views of the fleet differ for a while.
constexpr Duration kIneligibilityGracePeriod = std::chrono::seconds(5);
/// Fraction by which the claim interval is randomized, to spread the claims of different nodes.
constexpr double kClaimJitter = 0.3;

}  // namespace

template <class Function>
auto DutyLease::if_current(Function function) {
  return [this, number = ++current_call_, function = std::move(function)](auto result) {
    if (number == current_call_) {
      function(std::move(result));
    }
  };
}

DutyLease::DutyLease(World world, DutyLeaseOptions options, Eligibility eligibility)
    : world_(world),
      options_(std::move(options)),
      eligibility_(std::move(eligibility)),
      machine_(statechart::ChartLibrary::built_in().duty_lease),
      timer_(world.timers),
      deadline_timer_(world.timers) {}

void DutyLease::start() {
  machine_.start(*this);
}

std::optional<Fence> DutyLease::fence() const {
  const MonotonicTime now = world_.clock.now();
  const bool valid = machine_.in(State::kHolding) && now < deadline_ && now >= usable_from_;
  return valid ? std::optional(fence_) : std::nullopt;
}

void DutyLease::post(Event event) {
  machine_.post(event, *this);
}

bool DutyLease::evaluate(Chart::Guard /*guard*/) const {
  return eligibility_.to_claim();
}

void DutyLease::run(Chart::Action action) {
  switch (action) {
    case Chart::Action::kScheduleClaim:
      schedule_claim();
      return;
    case Chart::Action::kSendClaim:
      read_holder();
      return;
    case Chart::Action::kScheduleRenewal:
      schedule_renewal();
      return;
    case Chart::Action::kSendRenewal:
      send_renewal();
      return;
    case Chart::Action::kAnnounceGained:
      ++times_gained_;
      log("duty lease acquired", "");
      if (on_gained_) {
        on_gained_();
      }
      return;
    case Chart::Action::kAnnounceLost:
      log("duty lease lost", machine_.state_name());
      return;
    case Chart::Action::kSendRelease:
      send_release();
      return;
  }
}

void DutyLease::schedule_claim() {
  update_era();
  lease_.reset();
  ++current_call_;
  deadline_timer_.disarm();
  timer_.arm(claim_delay(), [this] { post(Event::kClaimDue); });
}

Duration DutyLease::claim_delay() const {
  const Duration period = world_.random.jitter(options_.claim_period, kClaimJitter);
  const Duration elapsed = claimed_at_ ? world_.clock.now() - *claimed_at_ : period;
  return std::max(options_.eligibility_poll_period, period - elapsed);
}

void DutyLease::read_holder() {
  claimed_at_ = world_.clock.now();
  world_.store.get(options_.holder_key, if_current([this](auto result) {
                     if (!result && result.error().code == StoreErrc::kNotFound) {
                       read_history();
                       return;
                     }
                     if (!result) {
                       fail_claim("read holder", result.error());
                       return;
                     }
                     const auto record =
                         wire::decode<HolderRecord>(result.value().value.value_or(""));
                     const bool own = record && record.value().node == options_.node &&
                                      record.value().incarnation == options_.incarnation;
                     if (!own) {
                       post(Event::kClaimFailed);
                       return;
                     }
                     // An earlier claim succeeded but its answer was lost.
                     lease_ = record.value().lease;
                     holder_revision_ = result.value().revision;
                     usable_from_ = world_.clock.now() + options_.time_to_live;
                     read_offset();
                   }));
}

void DutyLease::read_history() {
  lease_.reset();
  world_.store.get(
      options_.history_key, if_current([this](auto result) {
        if (!result && result.error().code != StoreErrc::kNotFound) {
          fail_claim("read history", result.error());
          return;
        }
        claim_ = {};
        if (result) {
          claim_.history_revision = result.value().revision;
          auto history = wire::decode<HolderHistory>(result.value().value.value_or(""));
          // An undecodable history may have named this node; assume that it did.
          claim_.history = history ? history.value() : HolderHistory{{}, options_.node};
        }
        read_offset();
      }));
}

void DutyLease::read_offset() {
  world_.store.get(
      options_.offset_key, if_current([this](auto result) {
        if (!result && result.error().code != StoreErrc::kNotFound) {
          fail_claim("read fence offset", result.error());
          return;
        }
        update_era();
        if (result) {
          claim_.offset_revision = result.value().revision;
          apply_stored_offset(result.value().value.value_or(""));
        } else {
          claim_.offset_revision = {};
          // Either no offset was stored yet, or a rollback removed it.
          claim_.stored_offset = rolled_back_at_ ? std::optional(FenceOffset()) : std::nullopt;
        }
        offset_ = compute_fence_offset(era_.value_or(StoreEra()), claim_.stored_offset);
        if (lease_) {
          fence_ = Fence(holder_revision_.value() + offset_.offset);
          post(Event::kFoundOwn);
        } else {
          grant();
        }
      }));
}

void DutyLease::apply_stored_offset(std::string_view bytes) {
  const auto stored = wire::decode<FenceOffset>(bytes);
  if (!stored) {
    // An offset computed from era 0 is at least as high as every offset stored before.
    log("stored fence offset cannot be decoded", stored.error().message);
    claim_.stored_offset = FenceOffset();
    return;
  }
  claim_.stored_offset = stored.value();
  // A newly started node may not know the current store era yet.
  world_.store.observe_revision(StoreRevision(0, stored.value().era));
  era_ = world_.store.era();
}

void DutyLease::grant() {
  const MonotonicTime sent = world_.clock.now();
  world_.store.grant_lease(options_.time_to_live, if_current([this, sent](auto result) {
                             if (!result) {
                               fail_claim("grant", result.error());
                               return;
                             }
                             lease_ = result.value();
                             extend_deadline(sent);
                             commit();
                           }));
}

void DutyLease::commit() {
  const HolderHistory& history = claim_.history;
  usable_from_ = earliest_use(history.previous == options_.node && history.last != options_.node);
  world_.store.commit({.conditions = {{options_.holder_key, {}},
                                      {options_.history_key, claim_.history_revision},
                                      {options_.offset_key, claim_.offset_revision}},
                       .writes = claiming_writes(),
                       .removals = {}},
                      if_current([this](auto result) {
                        if (!result) {
                          fail_claim("commit", result.error());
                        } else {
                          on_committed(result.value());
                        }
                      }));
}

/// The holder entry is written last: the store returns the revision of the last write.
std::vector<shared_store::Write> DutyLease::claiming_writes() const {
  HolderHistory history = claim_.history;
  if (history.last != options_.node) {
    history = {.last = options_.node, .previous = claim_.history.last};
  }
  std::vector<shared_store::Write> writes{
      {options_.history_key, wire::encode(history), std::nullopt}};
  if (offset_ != claim_.stored_offset) {
    writes.push_back({options_.offset_key, wire::encode(offset_), std::nullopt});
  }
  const HolderRecord record{options_.node, options_.incarnation, *lease_};
  writes.push_back({options_.holder_key, wire::encode(record), lease_});
  return writes;
}

void DutyLease::on_committed(StoreRevision revision) {
  if (revision.era() > offset_.era) {
    // The store was rolled back during the claim, so the fence may not exceed earlier ones.
    post(Event::kClaimFailed);
    return;
  }
  holder_revision_ = revision;
  fence_ = Fence(revision.value() + offset_.offset);
  post(Event::kClaimed);
}

MonotonicTime DutyLease::earliest_use(bool held_before) const {
  const MonotonicTime now = world_.clock.now();
  const MonotonicTime earliest = held_before ? now + options_.time_to_live : now;
  const bool rolled_back =
      rolled_back_at_ || (claim_.stored_offset && offset_ != *claim_.stored_offset);
  return rolled_back ? std::max(earliest, rolled_back_at_.value_or(now) + options_.time_to_live)
                     : earliest;
}

void DutyLease::update_era() {
  const auto era = world_.store.era();
  if (era_ && era && *era > *era_) {
    rolled_back_at_ = world_.clock.now();
  }
  era_ = era;
}

void DutyLease::on_store_rolled_back() {
  update_era();
  rolled_back_at_ = world_.clock.now();
  post(Event::kLeaseGone);
}

void DutyLease::fail_claim(std::string_view step, const StoreError& error) {
  log("duty claim failed", std::string(step) + ": " + error.message);
  post(Event::kClaimFailed);
}

/// The lease is valid for its time to live, counted from when the granting or renewing call was
/// sent.
void DutyLease::extend_deadline(MonotonicTime sent) {
  deadline_ = sent + options_.time_to_live - options_.safety_margin;
  deadline_timer_.arm(std::max(deadline_ - world_.clock.now(), Duration::zero()),
                      [this] { post(Event::kDeadlinePassed); });
}

void DutyLease::schedule_renewal() {
  timer_.arm(options_.renewal_period, [this] { post(Event::kRenewalDue); });
}

void DutyLease::send_renewal() {
  const MonotonicTime now = world_.clock.now();
  if (eligibility_.to_hold()) {
    ineligible_since_.reset();
  } else if (!ineligible_since_) {
    ineligible_since_ = now;
  }
  // Renews again if no answer arrives.
  timer_.arm(options_.renewal_retry_delay * 2, [this] { post(Event::kRenewalDue); });
  world_.store.renew_lease(*lease_, if_current([this, now](auto result) {
    if (!result && result.error().code == StoreErrc::kNotFound) {
      post(Event::kLeaseGone);
    } else if (!result) {
      timer_.arm(options_.renewal_retry_delay, [this] { post(Event::kRenewalDue); });
    } else if (ineligible_since_ &&
               world_.clock.now() - *ineligible_since_ > kIneligibilityGracePeriod) {
      ineligible_since_.reset();
      post(Event::kReleaseRequested);
    } else {
      extend_deadline(now);
      post(Event::kRenewed);
    }
  }));
}

void DutyLease::send_release() {
  timer_.disarm();
  deadline_timer_.disarm();
  ++current_call_;
  if (lease_) {
    world_.store.end_lease(*std::exchange(lease_, std::nullopt), [](auto) {});
  }
}

void DutyLease::log(std::string_view message, std::string_view detail) {
  world_.logger.write({logging::Level::kInfo,
                       kComponent,
                       std::string(message),
                       {{"fence", fence_.value()}, {"detail", std::string(detail)}}});
}

}  // namespace ochrespring::duties
