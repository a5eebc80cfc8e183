#include "capacity/hollow_node.h"

#include <utility>

#include "control_plane/fleet_view_builder.h"
#include "external/http/json.h"

namespace ochrespring::capacity {

namespace {

constexpr Duration kListDelay = std::chrono::milliseconds(10);
constexpr Duration kDemandInterval = std::chrono::seconds(1);
constexpr Duration kViewInterval = std::chrono::seconds(1);
constexpr std::uint64_t kHttpBytes = 500;
constexpr std::size_t kRevisionsKept = 2048;

}  // namespace

MeteredTimers::~MeteredTimers() {
  for (const auto& [own, scheduled] : scheduled_) {
    time_.cancel(scheduled.timer);
  }
}

TimerId MeteredTimers::schedule_after(Duration delay, std::function<void()> callback) {
  const TimerId own = next_++;
  Scheduled& scheduled = scheduled_[own];
  scheduled.callback = std::move(callback);
  const UnmeteredScope unmetered;
  scheduled.timer = time_.schedule_after(delay, [this, own] {
    const MeterScope scope(meter_);
    const auto due = scheduled_.extract(own);
    due.mapped().callback();
  });
  return own;
}

void MeteredTimers::cancel(TimerId timer) {
  const auto found = scheduled_.find(timer);
  if (found == scheduled_.end()) {
    return;
  }
  {
    const UnmeteredScope unmetered;
    time_.cancel(found->second.timer);
  }
  scheduled_.erase(found);
}

void MeteredTransport::send(const Endpoint& to, peer::Channel channel, std::string payload) {
  const UnmeteredScope unmetered;
  std::string copy(payload);
  transport_.send(to, channel, std::move(copy));
}

void HollowMachineList::list(external::ExternalCallback<std::vector<external::Machine>> done) {
  ++machines_.reads;
  std::string text;
  {
    const UnmeteredScope unmetered;
    external::Json json = external::Json::array();
    for (const auto& [name, machine] : machines_.machines) {
      json.push_back(external::json_of(machine));
    }
    text = json.dump();
  }
  bytes_received_ += text.size() + kHttpBytes;
  time_.schedule_after(kListDelay, [this, done = std::move(done), text = std::move(text),
                                    guard = std::weak_ptr<bool>(alive_)] {
    if (guard.expired()) {
      return;
    }
    const MeterScope scope(meter_);
    std::vector<external::Machine> machines;
    for (const external::Json& machine : external::Json::parse(text)) {
      machines.push_back(external::machine_of(machine));
    }
    done(std::move(machines));
  });
}

HollowNode::HollowNode(HollowWorld world, membership::Member self, bool publishes_views)
    : world_(world),
      timers_(world.time, meter_),
      self_(std::move(self)),
      transport_(world.network.attach(self_.peer)),
      metered_transport_(*transport_),
      store_(world.key_values,
             [this](const std::function<void()>& callback) {
               const MeterScope scope(meter_);
               callback();
             }),
      machine_list_(world.time, world.machines, meter_),
      engine_control_(world.time, world.engines,
                      [this](const std::function<void()>& callback) {
                        const MeterScope scope(meter_);
                        callback();
                      }),
      membership_(self_, {},
                  {world.time, timers_, world.random, metered_transport_, logger_, &machine_list_}),
      config_({}, {world.time, timers_, world.random, metered_transport_, store_, membership_,
                   logger_}),
      digest_({}, {world.time, timers_, world.random, metered_transport_, engine_control_,
                   membership_, &machine_list_}),
      ledger_({}, membership_, metered_transport_, store_, machine_list_, world.time, timers_,
              world.random),
      publishes_views_(publishes_views),
      demand_timer_(timers_),
      view_timer_(timers_) {
  transport_->subscribe(peer::Channel::kMembership, membership_);
  transport_->subscribe(peer::Channel::kConfig, config_);
  transport_->subscribe(peer::Channel::kDigest, digest_);
  transport_->subscribe(peer::Channel::kLedger, ledger_);
  transport_->set_runner([this](const std::function<void()>& deliver) {
    const MeterScope scope(meter_);
    deliver();
  });
  config_.add_observer(*this);
}

HollowNode::~HollowNode() {
  config_.remove_observer(*this);
}

void HollowNode::start() {
  const MeterScope scope(meter_);
  membership_.start();
  config_.start();
  digest_.start();
  ledger_.start();
  report_demand();
  if (publishes_views_) {
    publish_view();
  }
}

void HollowNode::mutate(const fleet::Mutation& mutation, std::function<void(bool)> done) {
  const MeterScope scope(meter_);
  config_.mutate(mutation,
                 [done = std::move(done)](const auto& result) { done(result.has_value()); });
}

std::optional<MonotonicTime> HollowNode::in_force_since(Revision revision) const {
  // A later revision contains the earlier one.
  const auto found = revisions_.lower_bound(revision);
  return found == revisions_.end() ? std::nullopt : std::optional(found->second);
}

NodeTraffic HollowNode::traffic() const {
  return {transport_->traffic(), engine_control_.bytes_sent(),
          engine_control_.bytes_received() + machine_list_.bytes_received()};
}

void HollowNode::on_revision(const std::shared_ptr<const fleet::FleetDocument>& document) {
  revisions_.emplace(document->revision, world_.time.now());
  if (revisions_.size() > kRevisionsKept) {
    revisions_.erase(revisions_.begin());
  }
  digest_.on_document(document);
}

void HollowNode::report_demand() {
  std::vector<planner::DemandSample> samples;
  for (const fleet::Model& model : config_.document()->models) {
    samples.push_back({model.name, world_.time.now(), 1.0 + world_.random.unit(),
                       3000 * world_.random.unit(), 400 * world_.random.unit(), 0});
  }
  digest_.on_demand(samples);
  demand_timer_.arm(kDemandInterval, [this] { report_demand(); });
}

void HollowNode::publish_view() {
  const auto document = config_.document();
  if (document->revision != Revision()) {
    view_ = control_plane::build_fleet_view(
        {*document, 1, [](const EngineId& /*engine*/) { return nullptr; },
         [this](const fleet::Engine& engine) { return digest_.load(engine); },
         [](const EngineId& /*engine*/) { return grants::EngineGrant{}; },
         [this](const ServerId& server) { return digest_.leaving(server.value()); }});
  }
  view_timer_.arm(kViewInterval, [this] { publish_view(); });
}

}  // namespace ochrespring::capacity
