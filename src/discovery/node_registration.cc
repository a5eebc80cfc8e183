#include "discovery/node_registration.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::discovery {

using shared_store::StoreErrc;

namespace {

/// Doublings of the delay after failed calls, which is also limited by `max_retry_delay`.
constexpr std::uint32_t kMaxRetryDoublings = 8;

}  // namespace

NodeRegistration::NodeRegistration(TimerService& timers, shared_store::SharedStore& store,
                                   logging::Logger& logger, RandomSource& random,
                                   NodeRegistrationSettings settings, const NodeRecord& record)
    : store_(store),
      logger_(logger),
      random_(random),
      settings_(std::move(settings)),
      value_(wire::encode(record)),
      timer_(timers) {}

void NodeRegistration::start() {
  request_lease();
}

void NodeRegistration::request_lease() {
  if (left_) {
    return;
  }
  record_written_ = false;
  lease_lost_ = false;
  store_.grant_lease(settings_.time_to_live, [this](auto result) {
    if (!result) {
      schedule_retry();
      return;
    }
    lease_ = result.value();
    if (left_) {
      leave();
      return;
    }
    write_record();
  });
}

void NodeRegistration::write_record() {
  store_.put(settings_.key, value_, lease_, [this](auto result) {
    if (!result) {
      if (result.error().code == StoreErrc::kNotFound) {
        lease_.reset();
      }
      schedule_retry();
      return;
    }
    failed_in_row_ = 0;
    record_written_ = true;
    registration_revision_ = result.value();
    logger_.write(
        {logging::Level::kInfo,
         "discovery",
         "node registered",
         {{"lease", lease_ ? lease_->value() : 0}, {"revision", result.value().value()}}});
    schedule(settings_.period);
  });
}

/// Uses a new lease: the previous one may be lost and its number assigned to another node.
void NodeRegistration::reregister() {
  lease_lost_ = true;
  if (left_) {
    // There is nothing to register again, and the lease number may belong to another node now.
    timer_.disarm();
    return;
  }
  if (timer_.armed()) {
    schedule(random_.part_of(settings_.period));
  }
  // Otherwise a call is in progress, and its completion registers again.
}

void NodeRegistration::renew() {
  store_.renew_lease(*lease_, [this](auto result) {
    if (!result && result.error().code == StoreErrc::kNotFound) {
      lease_.reset();
      request_lease();
      return;
    }
    if (!result) {
      schedule_retry();
      return;
    }
    failed_in_row_ = 0;
    schedule(settings_.period);
  });
}

void NodeRegistration::schedule_retry() {
  const Duration delay =
      settings_.retry_delay * (1U << std::min(failed_in_row_, kMaxRetryDoublings));
  ++failed_in_row_;
  schedule(std::min(delay, settings_.max_retry_delay));
}

void NodeRegistration::schedule(Duration delay) {
  if (left_) {
    return;
  }
  timer_.arm(delay, [this] {
    if (!lease_ || lease_lost_) {
      request_lease();
    } else if (!record_written_) {
      write_record();
    } else {
      renew();
    }
  });
}

void NodeRegistration::leave() {
  left_ = true;
  timer_.disarm();
  if (!lease_lost_) {
    end_lease();
  }
}

/// Retries while the store is unreachable: otherwise starting nodes would still find this node in
/// the store until the lease expires.
void NodeRegistration::end_lease() {
  if (!lease_) {
    return;
  }
  store_.end_lease(*lease_, [this](auto result) {
    const bool over = result || result.error().code == StoreErrc::kNotFound;
    if (!over && !lease_lost_) {
      timer_.arm(settings_.retry_delay, [this] { end_lease(); });
    }
  });
}

}  // namespace ochrespring::discovery
