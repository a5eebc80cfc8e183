// Controller, grants and a hand-made lease on one node under virtual time: a configured change is
// drained, ordered once, and the engine taken back into use.
#include "controller/controller.h"

#include <doctest/doctest.h>

#include <utility>

#include "simulation/virtual_time.h"

namespace ochrespring::controller {
namespace {

using std::chrono::seconds;

const EngineId kEngine("engine-0");

/// A lease that is held until the test says otherwise.
class TestLeases final : public authority::LeaseView {
 public:
  explicit TestLeases(const Clock& clock) : clock_(clock) {}
  std::vector<authority::LeaseObserver*> observers;
  bool holding = false;
  authority::HeldLease lease{{ZoneName("a"), ShardId(0)}, {}, Epoch(3), {}, {}};

  void gain() {
    holding = true;
    lease.gained = clock_.now();
    for (authority::LeaseObserver* observer : observers) {
      observer->on_lease_gained(lease);
    }
  }
  std::optional<authority::HeldLease> held(const authority::ShardKey& /*key*/) const override {
    return holding ? std::optional(lease) : std::nullopt;
  }
  std::optional<authority::VoterIdentity> holder_hint(
      const authority::ShardKey& /*key*/) const override {
    return std::nullopt;
  }
  authority::ShardLayout layout(const ZoneName& /*zone*/) const override { return {}; }
  void require_epoch_above(const authority::ShardKey& /*key*/, Epoch /*epoch*/) override {}
  void add_observer(authority::LeaseObserver& observer) override { observers.push_back(&observer); }
  void remove_observer(authority::LeaseObserver& observer) override {
    std::erase(observers, &observer);
  }

 private:
  const Clock& clock_;
};

class OneMember final : public membership::MemberView {
 public:
  const membership::Member& self() const override { return self_; }
  std::vector<membership::Member> members() const override { return {self_}; }
  std::uint64_t version() const override { return 1; }
  void add_observer(membership::MembershipObserver& /*observer*/) override {}
  void remove_observer(membership::MembershipObserver& /*observer*/) override {}

 private:
  membership::Member self_{NodeId("node"), {}, Endpoint("1"), ZoneName("a"), {}, {}};
};

class NoTransport final : public peer::Transport {
 public:
  void send(const Endpoint& /*to*/, peer::Channel /*channel*/, std::string /*payload*/) override {}
};

/// Engines that carry out each order in two seconds.
class TestEngines final : public external::EngineControl {
 public:
  explicit TestEngines(simulation::VirtualTime& time) : time_(time) {}
  std::map<Endpoint, engine::EngineStatus> engines;
  std::vector<engine::EngineOrder> orders;

  void status(const Endpoint& endpoint,
              external::ExternalCallback<engine::EngineStatus> done) override {
    time_.schedule_after(std::chrono::milliseconds(2),
                         [this, endpoint, done = std::move(done)] { done(engines.at(endpoint)); });
  }
  void order(const Endpoint& endpoint, const engine::EngineOrder& order,
             external::ExternalCallback<engine::EngineStatus> done) override {
    orders.push_back(order);
    engine::EngineStatus& engine = engines.at(endpoint);
    engine.highest_fence = order.fence;
    if (order.action != engine::OrderAction::kRaiseFence) {
      engine.current_order = order;
      time_.schedule_after(seconds(2), [this, endpoint] {
        engine::EngineStatus& changed = engines.at(endpoint);
        changed.role = changed.current_order->role;
        changed.last_completed = changed.current_order->fence;
        changed.current_order.reset();
      });
    }
    time_.schedule_after(std::chrono::milliseconds(2),
                         [copy = engine, done = std::move(done)] { done(copy); });
  }
  void load(const Endpoint& /*engine*/,
            external::ExternalCallback<std::vector<engine::LoadReport>> /*done*/) override {}
  void cache_events(const Endpoint& /*engine*/, std::uint64_t /*after*/,
                    external::ExternalCallback<external::CacheEventBatch> /*done*/) override {}

 private:
  simulation::VirtualTime& time_;
};

class NoObservations final : public FleetObservations {
 public:
  std::vector<planner::DemandSample> demand(const ServiceName& /*service*/) const override {
    return {};
  }
  std::optional<std::pair<engine::LoadReport, MonotonicTime>> load(
      const EngineId& /*engine*/) const override {
    return std::nullopt;
  }
  bool in_service(const EngineId& /*engine*/) const override { return true; }
};

fleet::FleetDocument make_document() {
  fleet::FleetDocument document;
  document.services.push_back({});
  document.services.back().name = ServiceName("service");
  for (int index = 0; index < 3; ++index) {
    fleet::Engine engine;
    engine.id = EngineId("engine-" + std::to_string(index));
    engine.endpoint = Endpoint(engine.id.value());
    engine.service = ServiceName("service");
    engine.zone = ZoneName("a");
    document.engines.push_back(engine);
  }
  return document;
}

}  // namespace

TEST_CASE("a configured role is reached by one drained order, and the engine is used again") {
  simulation::VirtualTime time;
  SeededRandom random(1);
  TestLeases leases(time);
  OneMember members;
  NoTransport transport;
  TestEngines engines(time);
  NoObservations observations;
  grants::Grants grants({time, time, random, transport, members, leases}, {});
  Controller controller(
      {time, leases, grants, engines, statechart::ChartLibrary::built_in(), observations, nullptr},
      time, {});
  fleet::FleetDocument document = make_document();
  for (const fleet::Engine& engine : document.engines) {
    engines.engines[engine.endpoint].engine = engine.id;
  }
  grants.configure(document, {});
  controller.configure(document);
  leases.gain();
  const auto usable = [&] { return time.now() < grants.grant(kEngine).dispatchable_until; };
  time.run_until(time.now() + seconds(5));
  CHECK(usable());
  CHECK(controller.statistics().fences_raised == 3);

  document.engines.front().role = fleet::EngineRole::kDecode;
  document.engines.front().role_pinned = true;
  grants.configure(document, {});
  controller.configure(document);
  time.run_until(time.now() + seconds(3));
  CHECK_FALSE(usable());
  CHECK(controller.statistics().orders_sent == 0);  // Grants of earlier holders may still run.
  time.run_until(time.now() + seconds(12));
  CHECK(controller.statistics().orders_sent == 1);
  CHECK(engines.engines.at(Endpoint("engine-0")).role == fleet::EngineRole::kDecode);
  CHECK(usable());
  CHECK(controller.statistics().role_changes == 1);
  CHECK(controller.decision(kEngine)->outcome == DecisionOutcome::kCompleted);

  // Without the lease nothing is ordered any more.
  leases.holding = false;
  document.engines.front().role = fleet::EngineRole::kPrefill;
  controller.configure(document);
  time.run_until(time.now() + seconds(30));
  CHECK(controller.statistics().orders_sent == 1);
}

}  // namespace ochrespring::controller
