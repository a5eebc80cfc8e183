// Detects changes of a file by polling, for file systems without change notification.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "base/timer.h"

namespace ochrespring::process {

/// Polls the modification time and size of a file. An unreadable file counts as unchanged. Runs on
/// one loop.
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
