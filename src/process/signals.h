// Handles process signals on a dedicated thread.
#pragma once

#include <functional>
#include <thread>

namespace ochrespring::process {

/// Request that an operator or the platform makes by a signal.
enum class ProcessSignal {
  kStop,    ///< SIGTERM or SIGINT.
  kReload,  ///< SIGHUP: reload the certificates.
};

/// Blocks the signals that SignalWatcher handles. Must be called before any thread starts. Also
/// ignores SIGPIPE, so that writing to a closed connection fails instead of terminating the
/// process.
void block_signals();

/// Handles signals from construction to destruction.
class SignalWatcher {
 public:
  /// `handler` is called on the watcher's thread.
  explicit SignalWatcher(std::function<void(ProcessSignal)> handler);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  std::function<void(ProcessSignal)> handler_;
  std::thread thread_;
};

}  // namespace ochrespring::process
