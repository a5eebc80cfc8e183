// Notices that a file has changed, where the system offers no notification.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "base/timer.h"

namespace ochrespring::process {

/// Looks at a file's time and size at fixed periods; a file that cannot be read counts as
/// unchanged. One loop.
class FileWatcher {
 public:
  static constexpr Duration kPeriod{std::chrono::seconds(2)};

  /// `changed` is called once after each change.
  FileWatcher(TimerService& timers, std::string path, std::function<void()> changed);

 private:
  struct Stamp {
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;
    bool operator==(const Stamp&) const = default;
  };

  void poll();
  Stamp read_stamp() const;

  std::string path_;
  std::function<void()> changed_;
  Stamp stamp_;
  Timer timer_;
};

}  // namespace ochrespring::process
