#include "process/signals.h"

#include <csignal>
#include <utility>

namespace ochrespring::process {

namespace {

/// Sent to the watcher's thread to make it exit.
constexpr int kExitSignal = SIGUSR1;

sigset_t watched_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, kExitSignal}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

}  // namespace

void block_signals() {
  const sigset_t signals = watched_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

SignalWatcher::SignalWatcher(std::function<void(ProcessSignal)> handler)
    : handler_(std::move(handler)), thread_([this] {
        const sigset_t signals = watched_signals();
        int signal = 0;
        while (sigwait(&signals, &signal) == 0 && signal != kExitSignal) {
          handler_(signal == SIGHUP ? ProcessSignal::kReload : ProcessSignal::kStop);
        }
      }) {}

SignalWatcher::~SignalWatcher() {
  pthread_kill(thread_.native_handle(), kExitSignal);
  thread_.join();
}

}  // namespace ochrespring::process
