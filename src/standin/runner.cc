#include "standin/runner.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <csignal>
#include <ctime>
#include <iostream>
#include <thread>

namespace ochrespring::standin {

namespace {

constexpr int kSuccess = 0;
constexpr int kUsage = 2;
constexpr long kSignalPollNanoseconds = 100'000'000;
constexpr Duration kIdlePoll = std::chrono::milliseconds(50);

sigset_t stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Waits for a stop signal on its own thread and posts it to the loop.
class SignalThread {
 public:
  SignalThread(http::EventLoop& loop, std::function<void()> on_signal)
      : thread_([this, &loop, on_signal = std::move(on_signal)] { wait(loop, on_signal); }) {}
  ~SignalThread() {
    ended_ = true;
    thread_.join();
  }
  SignalThread(const SignalThread&) = delete;
  SignalThread& operator=(const SignalThread&) = delete;

 private:
  void wait(http::EventLoop& loop, const std::function<void()>& on_signal) {
    const sigset_t signals = stop_signals();
    const timespec poll{0, kSignalPollNanoseconds};
    while (!ended_) {
      if (sigtimedwait(&signals, nullptr, &poll) > 0) {
        loop.post(on_signal);
      }
    }
  }

  std::atomic<bool> ended_{false};
  std::thread thread_;
};

bool apply_starting_faults(const CommonOptions& options, const ServedStandin& standin) {
  if (options.faults.empty()) {
    return true;
  }
  const auto json = nlohmann::json::parse(options.faults, nullptr, false);
  const auto merged = merge_faults(FaultSettings(), json);
  if (merged.has_error()) {
    std::cerr << "--faults: " << merged.error().message << '\n';
    return false;
  }
  standin.front->faults().set(merged.value());
  return true;
}

bool start(const char* kind, const CommonOptions& options, const ServedStandin& standin) {
  if (!apply_starting_faults(options, standin)) {
    return false;
  }
  const auto listening = standin.front->listen();
  if (listening.has_error()) {
    std::cerr << "--listen: " << listening.error().message << '\n';
    return false;
  }
  const nlohmann::json line{
      {"standin", kind}, {"id", standin.id}, {"endpoint", standin.front->bound().value()}};
  std::cout << line.dump() << std::endl;
  return true;
}

void stop_when_idle(http::EventLoop& loop, const std::vector<ServedStandin>& standins) {
  const bool idle = std::all_of(standins.begin(), standins.end(), [](const auto& standin) {
    return !standin.idle || standin.idle();
  });
  if (idle) {
    loop.stop();
    return;
  }
  loop.schedule_after(kIdlePoll, [&loop, &standins] { stop_when_idle(loop, standins); });
}

}  // namespace

Endpoint listen_address(const std::string& base, std::size_t index) {
  const std::size_t colon = base.rfind(':');
  unsigned port = 0;
  if (colon != std::string::npos) {
    std::from_chars(base.data() + colon + 1, base.data() + base.size(), port);
  }
  if (port == 0) {
    return Endpoint(base);
  }
  return Endpoint(base.substr(0, colon + 1) + std::to_string(port + index));
}

void block_stop_signals() {
  const sigset_t signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int serve(http::EventLoop& loop, const char* kind, const CommonOptions& options,
          const std::vector<ServedStandin>& standins) {
  for (const ServedStandin& standin : standins) {
    if (!start(kind, options, standin)) {
      return kUsage;
    }
  }
  const SignalThread signals(loop, [&loop, &standins] {
    for (const ServedStandin& standin : standins) {
      if (standin.drain) {
        standin.drain();
      }
    }
    stop_when_idle(loop, standins);
  });
  loop.run();
  return kSuccess;
}

}  // namespace ochrespring::standin
