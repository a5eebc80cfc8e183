// Signals of the process, taken on a thread of their own and handed to a handler.
#pragma once

#include <functional>
#include <thread>

namespace ochrespring::process {

/// What an operator or the platform asks by a signal.
enum class ProcessSignal {
  kStop,    ///< SIGTERM or SIGINT.
  kReload,  ///< SIGHUP: read the certificates again.
};

/// Blocks the signals SignalWatcher takes. To be called before any thread starts; also makes
/// writes to closed connections fail instead of ending the process.
void block_signals();

/// Waits for signals from construction to destruction.
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
