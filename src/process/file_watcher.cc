#include "process/file_watcher.h"

#include <sys/stat.h>

namespace ochrespring::process {

FileWatcher::FileWatcher(TimerService& timers, std::string path, std::function<void()> changed)
    : path_(std::move(path)), changed_(std::move(changed)), stamp_(read_stamp()), timer_(timers) {
  timer_.arm(kPeriod, [this] { poll(); });
}

void FileWatcher::poll() {
  const Stamp now = read_stamp();
  timer_.arm(kPeriod, [this] { poll(); });
  if (now == stamp_ || now == Stamp()) {
    return;
  }
  stamp_ = now;
  changed_();
}

FileWatcher::Stamp FileWatcher::read_stamp() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) {
    return {};
  }
  return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
}

}  // namespace ochrespring::process
