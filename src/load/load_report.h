// The figures of a load run, and the judgement whether a promise broke.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "load/answer_checker.h"

namespace ochrespring::load {

/// Spans in buckets of equal relative width (about 1 in 100), from 10 microseconds to 1000 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void add(Duration span);
  std::uint64_t count() const { return count_; }
  /// Upper edge in seconds of the bucket that holds the quantile, `fraction` in (0, 1].
  double quantile(double fraction) const;
  /// Rows of a bar chart for people, one for each factor of two that was seen.
  std::string render() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0))) buckets_;
  std::uint64_t count_ = 0;
};

/// Limits a good answer keeps.
struct GoodLimits {
  Duration first_token{std::chrono::milliseconds(1700)};
  Duration between_tokens{std::chrono::milliseconds(37)};  ///< 95th percentile of a stream.
};

/// Runs of each idempotency key, as the ordinary back ends counted them.
using RelayCounts = std::map<std::string, std::uint64_t>;

/// Collects finished requests.
class LoadReport {
 public:
  explicit LoadReport(GoodLimits limits) : limits_(limits) {}

  void record_sent() { ++sent_; }
  /// A request ended. `node_killed`: the node it went through was killed on purpose, so a broken
  /// answer is the caller's to notice and not a cut.
  void record(const AnswerChecker& answer, const Expectation& expectation, MonotonicTime started,
              bool node_killed);
  /// Judges the back ends' own counts against what callers were told.
  void judge_relays(const RelayCounts& counts);
  /// A back end's counts could not be read: its sends are not proven.
  void record_unread_relay() { ++unread_relays_; }
  void set_elapsed(Duration elapsed) { elapsed_ = elapsed; }

  std::uint64_t sent() const { return sent_; }
  std::uint64_t ended() const { return answered_ + not_run_ + unknown_; }
  std::uint64_t good() const { return good_; }
  std::uint64_t broken() const {
    return doubled_ + cut_ + crossed_ + false_not_run_ + false_answered_ + unread_relays_;
  }
  /// Whether every promise held.
  bool promises_held() const { return broken() == 0; }
  nlohmann::ordered_json to_json() const;
  std::string render() const;

 private:
  bool is_good(const AnswerChecker& answer, MonotonicTime started) const;

  GoodLimits limits_;
  Duration elapsed_{};
  std::uint64_t sent_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t not_run_ = 0;
  std::uint64_t unknown_ = 0;
  std::uint64_t good_ = 0;
  std::uint64_t doubled_ = 0;  ///< Requests that ran twice, answers with a token twice.
  std::uint64_t cut_ = 0;
  std::uint64_t crossed_ = 0;
  std::uint64_t cut_by_kill_ = 0;
  std::uint64_t false_not_run_ = 0;   ///< Told "not run", yet a back end ran it.
  std::uint64_t false_answered_ = 0;  ///< Told "answered", yet no back end ran it.
  std::uint64_t unread_relays_ = 0;
  std::uint64_t tokens_ = 0;
  std::map<std::uint16_t, std::uint64_t> statuses_;
  std::map<std::string, Outcome> keys_;  ///< Outcomes of requests that may not repeat.
  LatencyHistogram first_token_;
  LatencyHistogram between_tokens_;
};

}  // namespace ochrespring::load
