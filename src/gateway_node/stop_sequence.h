// The planned stop of a gateway node.
#pragma once

#include <cstddef>
#include <functional>

#include "base/timer.h"

namespace ochrespring::gateway_node {

/// When the steps of a stop are due.
struct StopTimes {
  /// From the stop signal to when requests that may outlast the grace are refused. Later than 3 s
  /// after the signal callers count on an answer; half a second is for what is on its way.
  Duration refuse_long{std::chrono::milliseconds(2500)};
  /// Callers may go on using an old answer of the directory that names this node for this long.
  Duration callers_notice{std::chrono::milliseconds(3500)};
  /// Nothing may be held for so long before the end. Also how often that is asked.
  Duration linger{std::chrono::milliseconds(50)};
  /// From the stop signal to the end by force, but for `linger`.
  Duration grace{std::chrono::milliseconds(7500)};

  /// The steps before the end come sooner where the grace is short.
  static StopTimes within(Duration grace);
};

/// Ends the process when callers have had time to notice and no request is held any more; by force
/// when the grace is over. Requests that arrive meanwhile are served. What is held is asked for
/// again and again: an end that depends on being told of each request's end cuts those whose holder
/// does not tell. One loop.
class StopSequence {
 public:
  struct Actions {
    std::function<void()> leave;           ///< Out of the directory; connections close politely.
    std::function<void()> stop_accepting;  ///< No new connections.
    std::function<void()> finish;          ///< End the process.
    std::function<std::size_t()> running;  ///< Requests of which anything is held.
    /// Requests that may outlast the grace are refused from now on; may be empty.
    std::function<void()> refuse_long{};
    /// Each request that is held gets its final answer; may be empty.
    std::function<void()> end_requests{};
  };

  StopSequence(TimerService& timers, Actions actions);

  /// The stop signal; a second one changes nothing.
  void begin(const StopTimes& times);
  /// The last request may have ended: the end need not wait for the next question.
  void on_idle();
  bool begun() const { return begun_; }

 private:
  void finish_if_idle();
  void force();

  Actions actions_;
  StopTimes times_;
  Timer refuse_;
  Timer step_;
  Timer force_;
  bool begun_ = false;
  bool callers_noticed_ = false;
  bool was_idle_ = false;  ///< When it was last asked.
};

}  // namespace ochrespring::gateway_node
