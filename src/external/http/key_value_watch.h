// A watch on the HTTP key-value service: long polls from the last position read.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/timer.h"
#include "external/http/key_value_store.h"
#include "http/client.h"

namespace ochrespring::external {

/// Polls from construction to destruction. Failed calls are repeated with exponential backoff and
/// jitter; when the service no longer keeps the position, the whole prefix is reported again.
class KeyValueWatch final : public Watch {
 public:
  KeyValueWatch(http::Client& client, TimerService& timers, RandomSource& random,
                const HttpKeyValueSettings& settings, std::string prefix, WatchObserver& observer);

 private:
  using Fetched = Result<http::Response, http::FetchFailure>;

  void poll();
  void on_polled(const Fetched& fetched);
  void retry_later();
  void list();
  void on_listed(const Fetched& fetched);
  void fetch(const std::string& path, Duration timeout,
             void (KeyValueWatch::*done)(const Fetched&));

  http::Client& client_;
  RandomSource& random_;
  HttpKeyValueSettings settings_;
  std::string prefix_;
  WatchObserver& observer_;
  Timer retry_;
  Duration backoff_;
  std::optional<std::uint64_t> position_;  ///< Unset: from now on.
  /// Lets callbacks of calls still running find out that the watch is gone.
  std::shared_ptr<KeyValueWatch*> self_;
};

}  // namespace ochrespring::external
