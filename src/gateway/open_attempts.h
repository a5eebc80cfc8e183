// The attempts of one request that are in progress.
#pragma once

#include <memory>
#include <vector>

#include "gateway/attempt.h"
#include "gateway/attempt_observer.h"
#include "gateway/environment.h"
#include "gateway/prompt.h"
#include "gateway/prompt_cache.h"
#include "gateway/request_log.h"
#include "gateway/retry_limit.h"
#include "gateway/stream_backup.h"

namespace ochrespring::gateway {

/// A silent back end may still be working, so its attempt stays open while another back end is
/// tried. One attempt is the current one: the one that was started or heard last. The others are
/// open, and all but prefill calls count towards the route's attempts.
///
/// Serves one request, on one event loop. The referenced objects must outlive it.
class OpenAttempts {
 public:
  struct Dependencies {
    Environment& environment;
    const RequestLog& log;
    RetryLimit& retry_limit;
    PrefillCacheHolder& cache;
    StreamBackup& backup;
  };

  explicit OpenAttempts(Dependencies dependencies) : deps_(dependencies) {}

  /// Must be called before start(). `prompt` is null for a request that is not for an engine.
  void set_request(const ServiceName& service, const Prompt* prompt);
  /// Makes a new attempt the current one. `events` must outlive its exchange.
  void start(Attempt attempt, AttemptEvents& events);
  /// The current attempt, which may have ended; null before the first one and after
  /// keep_current_open().
  Attempt* current() const { return current_.get(); }
  bool is_current_open() const { return current_ && !current_->backend.empty(); }
  /// Makes an open attempt the current one. Returns false if it already is.
  bool select(Attempt& attempt);
  /// Marks the current attempt as stalled. Returns false if it already is.
  bool stall_current();
  /// Makes no attempt the current one. If the current one is open, it stays open.
  void keep_current_open();
  /// Ends the current attempt if it is open.
  void end_current(AttemptOutcome verdict);
  /// Ends all attempts but the current one.
  void end_others();
  /// Reads the answers of all attempts but the current one again.
  void read_others() const;

  bool has_others() const { return !others_.empty(); }
  /// Of the others, one that is not stalled; null if there is none.
  Attempt* other_expected_to_answer() const;
  /// Of the others, the one whose back end was heard last; null if there is none.
  Attempt* other_heard_last() const;
  /// Whether a back end of an open attempt may run the request.
  bool may_run() const;
  /// Calls `function` with each open attempt.
  template <class Function>
  void for_each(Function function) const {
    if (is_current_open()) {
      function(*current_);
    }
    for (const auto& other : others_) {
      function(*other);
    }
  }

 private:
  void close(Attempt& attempt, AttemptOutcome verdict);

  Dependencies deps_;
  ServiceName service_;
  const Prompt* prompt_ = nullptr;
  std::unique_ptr<Attempt> current_;
  std::vector<std::unique_ptr<Attempt>> others_;
};

}  // namespace ochrespring::gateway
