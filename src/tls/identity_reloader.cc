#include "tls/identity_reloader.h"

#include <utility>

namespace ochrespring::tls {

Result<std::unique_ptr<IdentityReloader>, TlsError> IdentityReloader::start(
    ReloaderOptions options, TimerService& timers, const Clock& clock, logging::Logger& logger) {
  BOOST_OUTCOME_TRY(first, load_identity(options.files, clock.wall_now()));
  return std::unique_ptr<IdentityReloader>(
      new IdentityReloader(std::move(options), std::move(first), timers, clock, logger));
}

IdentityReloader::IdentityReloader(ReloaderOptions options, Identity first, TimerService& timers,
                                   const Clock& clock, logging::Logger& logger)
    : options_(std::move(options)),
      clock_(clock),
      logger_(logger),
      current_(std::make_shared<const Identity>(std::move(first))),
      timer_(timers) {
  warn_of_expiry();
  arm_timer();
}

std::shared_ptr<const Identity> IdentityReloader::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

Result<void, TlsError> IdentityReloader::reload() {
  auto loaded = load_identity(options_.files, clock_.wall_now());
  if (loaded.has_error()) {
    ++statistics_.failures;
    logger_.write({logging::Level::kError,
                   "tls",
                   "certificate not reloaded, the one in use stays",
                   {{"error", loaded.error().message}}});
    return outcome::failure(loaded.error());
  }
  warn_of_expiry();
  if (loaded.value() == *current()) {
    return outcome::success();
  }
  auto next = std::make_shared<const Identity>(std::move(loaded).value());
  {
    const std::lock_guard lock(mutex_);
    current_ = next;
  }
  ++statistics_.reloads;
  logger_.write(
      {logging::Level::kInfo, "tls", "certificate reloaded", {{"subject", next->subject}}});
  if (observer_) {
    observer_(next);
  }
  return outcome::success();
}

void IdentityReloader::set_observer(
    std::function<void(const std::shared_ptr<const Identity>&)> observer) {
  observer_ = std::move(observer);
}

void IdentityReloader::arm_timer() {
  timer_.arm(options_.poll_interval, [this] {
    (void)reload();
    arm_timer();
  });
}

void IdentityReloader::warn_of_expiry() {
  const auto identity = current();
  const Duration left = identity->not_after - clock_.wall_now();
  if (left < options_.expiry_warning) {
    logger_.write({logging::Level::kWarning,
                   "tls",
                   "certificate expires soon",
                   {{"subject", identity->subject}, {"seconds_left", to_seconds(left)}}});
  }
}

}  // namespace ochrespring::tls
