#include "http/event_loop.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <limits>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/h2o_api.h"

namespace ochrespring::http {

namespace {

/// Maximum poll time. Timers use a clock that continues while the machine is suspended, but the
/// kernel's poll timeout does not: after a suspension it still waits for its remainder.
constexpr std::int64_t kMaxWaitMilliseconds = 250;
/// A timer that is overdue by more than this was delayed by a suspension, a stopped process or CPU
/// starvation.
constexpr Duration kStallThreshold = std::chrono::milliseconds(20);
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

using Task = std::function<void()>;

void ignore_messages(h2o_multithread_receiver_t* /*receiver*/, h2o_linklist_t* /*messages*/) {}

}  // namespace

/// Timers and the task queue. Only `tasks`, `wake_sent`, `stopping` and `owner` are shared with
/// other threads.
struct EventLoop::State {
  h2o_evloop_t* loop = h2o_evloop_create();
  h2o_multithread_queue_t* queue = h2o_multithread_create_queue(loop);
  h2o_multithread_receiver_t receiver{};
  const Clock& clock;

  std::mutex mutex;
  std::vector<Task> tasks;
  bool wake_sent = false;
  std::atomic<bool> stopping = false;
  std::atomic<std::thread::id> owner;

  MonotonicTime poll_began = clock.now();
  MonotonicTime poll_ended = clock.now();
  Duration poll_wait{};    ///< Timeout of the last poll.
  Duration before_poll{};  ///< Time between the previous poll and the last one.

  std::map<std::pair<MonotonicTime, TimerId>, Task> timers;
  std::unordered_map<TimerId, MonotonicTime> due;
  TimerId next_timer = 1;

  explicit State(const Clock& loop_clock) : clock(loop_clock) {
    // Writing to a closed connection must fail instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    h2o_multithread_register_receiver(queue, &receiver, ignore_messages);
  }
  ~State() {
    timers.clear();
    tasks.clear();
    h2o_multithread_unregister_receiver(queue, &receiver);
    h2o_multithread_destroy_queue(queue);
    h2o_evloop_destroy(loop);
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void wake() { h2o_multithread_send_message(&receiver, nullptr); }

  void poll(std::int32_t wait) {
    poll_began = clock.now();
    poll_wait = std::chrono::milliseconds(wait);
    before_poll = poll_began - poll_ended;
    h2o_evloop_run(loop, wait);
    poll_ended = clock.now();
  }

  Duration stall_duration() const {
    const Duration in_poll = clock.now() - poll_began - poll_wait;
    Duration total{};
    for (const Duration span : {before_poll, in_poll}) {
      total += span > kStallThreshold ? span : Duration::zero();
    }
    return total;
  }

  bool run_tasks() {
    std::vector<Task> batch;
    {
      const std::lock_guard lock(mutex);
      batch.swap(tasks);
      wake_sent = false;
    }
    for (Task& task : batch) {
      task();
    }
    return !batch.empty();
  }

  bool run_timers() {
    MonotonicTime now = clock.now();
    if (!timers.empty() && now - timers.begin()->first.first > kStallThreshold) {
      // Reads pending input first, so that a response that has already arrived is not timed out.
      poll(0);
      now = clock.now();
    }
    bool ran = false;
    while (!timers.empty() && timers.begin()->first.first <= now) {
      auto node = timers.extract(timers.begin());
      due.erase(node.key().second);
      node.mapped()();
      ran = true;
    }
    return ran;
  }

  /// Runs all due timers and tasks. h2o polls without handling writes that completed immediately,
  /// so their callbacks run here before each poll.
  void run_due() {
    bool ran = true;
    while (ran) {
      ran = run_timers();
      ran = run_tasks() || ran;
      h2o_timeout__do_post_callback(loop);
      if (stopping) {
        return;
      }
    }
  }

  std::int32_t wait_milliseconds() {
    {
      const std::lock_guard lock(mutex);
      if (!tasks.empty()) {
        return 0;
      }
    }
    if (timers.empty()) {
      return kMaxWaitMilliseconds;
    }
    const std::int64_t left = (timers.begin()->first.first - clock.now()).count();
    if (left <= 0) {
      return 0;
    }
    const std::int64_t rounded_up =
        (left + kNanosecondsPerMillisecond - 1) / kNanosecondsPerMillisecond;
    return static_cast<std::int32_t>(std::min(rounded_up, kMaxWaitMilliseconds));
  }
};

EventLoop::EventLoop(const Clock& clock) : state_(std::make_unique<State>(clock)) {}

EventLoop::~EventLoop() = default;

void EventLoop::run() {
  state_->owner = std::this_thread::get_id();
  while (!state_->stopping) {
    state_->run_due();
    if (state_->stopping) {
      break;
    }
    state_->poll(state_->wait_milliseconds());
  }
  state_->stopping = false;
  state_->owner = std::thread::id();
}

void EventLoop::stop() {
  state_->stopping = true;
  state_->wake();
}

void EventLoop::post(std::function<void()> task) {
  const bool on_loop = state_->owner.load() == std::this_thread::get_id();
  bool wake = false;
  {
    const std::lock_guard lock(state_->mutex);
    state_->tasks.push_back(std::move(task));
    if (!on_loop) {
      wake = !std::exchange(state_->wake_sent, true);
    }
  }
  if (wake) {
    state_->wake();
  }
}

TimerId EventLoop::schedule_after(Duration delay, std::function<void()> callback) {
  const TimerId timer = state_->next_timer++;
  const MonotonicTime at = state_->clock.now() + std::max(delay, Duration::zero());
  state_->timers.emplace(std::pair(at, timer), std::move(callback));
  state_->due.emplace(timer, at);
  return timer;
}

void EventLoop::cancel(TimerId timer) {
  const auto found = state_->due.find(timer);
  if (found == state_->due.end()) {
    return;
  }
  state_->timers.erase(std::pair(found->second, timer));
  state_->due.erase(found);
}

Duration EventLoop::stall_duration() const {
  return state_->stall_duration();
}

st_h2o_evloop_t* EventLoop::native() {
  return state_->loop;
}

}  // namespace ochrespring::http
