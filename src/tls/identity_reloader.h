// Keeps an identity current: reads its files again now and then and on request, and adopts them
// when they are sound.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

#include "base/time.h"
#include "base/timer.h"
#include "logging/logger.h"
#include "tls/identity_source.h"

namespace ochrespring::tls {

struct ReloaderOptions {
  IdentityFiles files;
  Duration poll_interval{std::chrono::seconds(30)};
  Duration expiry_warning{std::chrono::hours(24 * 7)};  ///< Warns this long before expiry.
};

/// Counters since the start.
struct ReloaderStatistics {
  std::uint64_t reloads = 0;   ///< Identities adopted after the first.
  std::uint64_t failures = 0;  ///< Readings that were refused; the one before stays in use.
};

/// Reloads an identity. Everything but current() is called on the loop that owns `timers`.
class IdentityReloader final : public IdentitySource {
 public:
  /// Loads the files once; fails if they are not sound. The references must outlive the reloader.
  static Result<std::unique_ptr<IdentityReloader>, TlsError> start(ReloaderOptions options,
                                                                   TimerService& timers,
                                                                   const Clock& clock,
                                                                   logging::Logger& logger);

  std::shared_ptr<const Identity> current() const override;
  /// Reads the files at once, as on SIGHUP; on failure the identity in use stays.
  Result<void, TlsError> reload();
  /// Called on the loop after each adopted identity, so that contexts can be rebuilt.
  void set_observer(std::function<void(const std::shared_ptr<const Identity>&)> observer);
  const ReloaderStatistics& statistics() const { return statistics_; }

 private:
  IdentityReloader(ReloaderOptions options, Identity first, TimerService& timers,
                   const Clock& clock, logging::Logger& logger);
  void arm_timer();
  void warn_of_expiry();

  ReloaderOptions options_;
  const Clock& clock_;
  logging::Logger& logger_;
  mutable std::mutex mutex_;
  std::shared_ptr<const Identity> current_;  ///< Guarded by mutex_.
  std::function<void(const std::shared_ptr<const Identity>&)> observer_;
  ReloaderStatistics statistics_;
  Timer timer_;
};

}  // namespace ochrespring::tls
