// Runs a trace through an emulated fleet under a policy and measures what callers saw.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "emulator/control_model.h"
#include "emulator/engine_pool.h"
#include "emulator/faults.h"
#include "emulator/ordinary_pool.h"
#include "emulator/policy.h"
#include "emulator/proxy_model.h"
#include "emulator/run_result.h"
#include "workload/trace.h"

namespace ochrespring::emulator {

/// Everything that decides a run; the same options give the same result.
struct RunOptions {
  Deployment deployment;
  PolicyConfiguration policy;
  FaultPlan faults;
  std::vector<workload::TenantShare> tenants;
  Duration duration{};  ///< Of the arrivals; the run goes on until all are decided.
  std::uint64_t seed = 1;
};

/// One run. Construct, call run() once.
class FleetEmulator final : public ProxyHost, public ControlHost {
 public:
  /// `trace` must outlive the run.
  FleetEmulator(RunOptions options, const workload::Trace& trace);
  RunResult run();

 private:
  // ProxyHost.
  RequestState& request(RequestIndex index) override { return requests_[index]; }
  void dispatch(RequestIndex index, const router::RouteDecision& decision) override;
  void finish(RequestIndex index, RequestOutcome outcome) override;
  // ControlHost.
  void move_streams(std::uint32_t engine) override;
  std::uint32_t attempts_under_way(std::uint32_t engine) const override {
    return under_way_[engine];
  }

  void schedule_start();
  void handle(const Event& event);
  void on_arrival(RequestIndex index);
  void on_deliver(const Event& event);
  void on_deliver_cache(const Event& event);
  void on_engine_wake(const Event& event);
  void on_reply(const Event& event);
  void on_ordinary_done(const Event& event);
  void on_proxy_tick(std::uint32_t proxy);
  void on_report_tick();
  void on_control_tick();
  void on_fault(const Fault& fault);
  void on_fault_end(const Fault& fault);
  void lose_engine(std::uint32_t engine);
  void lose_backend(std::uint32_t backend, MonotonicTime until);
  void take_zone_down(std::uint32_t zone, MonotonicTime until);

  void drain_engine_events(std::uint32_t engine);
  void on_engine_event(std::uint32_t engine, const engine_model::SequenceEvent& event);
  void hand_over_cache(std::uint32_t engine, RequestIndex index);
  void reply(std::uint32_t zone, RequestIndex index, std::uint32_t attempt, ReplyKind kind,
             MonotonicTime at, Duration extra = {});
  void push(EventKind kind, MonotonicTime at, std::uint32_t target, std::uint64_t subject,
            std::uint32_t detail);
  Duration delay(std::uint32_t zone_a, std::uint32_t zone_b) const;
  std::uint32_t zone_of_proxy(std::uint32_t proxy) const;
  router::FleetViewPointer build_view() const;
  DemandTotals collect_demand();
  bool first_token_in_time(const RequestState& state) const;
  bool is_good(const RequestState& state) const;
  void sample_timeline();
  RunResult collect();
  void count(const RequestState& state, RequestCounts& counts) const;

  RunOptions options_;
  const workload::Trace& trace_;
  const Deployment& deployment_;
  EventQueue events_;
  MonotonicTime now_{};
  std::vector<RequestState> requests_;
  EnginePool engines_;
  OrdinaryPool backends_;
  ControlModel control_;
  std::vector<std::unique_ptr<ProxyModel>> proxies_;
  std::vector<std::vector<std::uint64_t>> next_batch_;  ///< By proxy and engine.
  std::vector<std::uint32_t> under_way_;                ///< Attempts on the network, by engine.
  std::vector<std::uint32_t> ordinary_runs_;
  std::vector<bool> zone_down_;
  std::uint32_t next_proxy_ = 0;
  std::uint64_t view_sequence_ = 0;
  std::size_t open_requests_ = 0;
  MonotonicTime planned_at_{};
  std::vector<TimelineSlice> timeline_;
};

}  // namespace ochrespring::emulator
