// Sends a plan's requests over real sockets, open loop, and checks every answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "http/client.h"
#include "load/load_plan.h"
#include "load/load_report.h"

namespace ochrespring::load {

struct RunnerSettings {
  std::vector<Endpoint> endpoints;  ///< Nodes; requests are spread over them at random.
  std::vector<Endpoint> relays;     ///< Ordinary back ends whose counts are judged at the end.
  std::set<Endpoint> killed;        ///< Nodes that will be killed on purpose.
  Duration deadline{std::chrono::seconds(60)};  ///< Of each request.
  std::uint32_t repeats = 1;  ///< Times a send of unknown outcome is repeated with the same key.
  Duration repeat_after{std::chrono::milliseconds(500)};
  std::uint64_t seed = 1;
  PlanSettings plan;
};

/// One run. Used on the loop only.
class LoadRunner {
 public:
  LoadRunner(http::EventLoop& loop, const Clock& clock, http::Client& client,
             RunnerSettings settings, workload::Trace trace, GoodLimits limits);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Sends everything; `done` runs once, after the last answer and the relays' counts are in.
  void start(std::function<void()> done);
  const LoadReport& report() const { return report_; }
  Duration elapsed() const { return clock_.now() - started_; }
  std::size_t in_flight() const { return calls_.size(); }

 private:
  class Call;

  void send_due();
  void arm_next();
  void launch(std::unique_ptr<Call> call);
  void call_ended(std::uint64_t number);
  void check_end();
  void fetch_relay_log(std::size_t index);
  Endpoint pick_endpoint(const std::set<Endpoint>& tried);

  http::EventLoop& loop_;
  const Clock& clock_;
  http::Client& client_;
  RunnerSettings settings_;
  workload::Trace trace_;
  SeededRandom random_;
  LoadReport report_;
  MonotonicTime started_;
  std::size_t next_ = 0;
  std::uint64_t next_call_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls_;
  RelayCounts relay_counts_;
  std::function<void()> done_;
  Timer arrival_;
};

/// Adds the counts of one back end's log to `counts`; false if the log cannot be read.
bool add_relay_log(const std::string& body, RelayCounts& counts);

}  // namespace ochrespring::load
