#include "digest/digest_service.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "wire/codec.h"

namespace ochrespring::digest {

namespace {

constexpr double kJitter = 0.1;
constexpr double kReadJitter = 0.9;
constexpr Duration kPaceTolerance = std::chrono::milliseconds(10);
constexpr double kDeci = 10;

std::uint16_t milliseconds(Duration span) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(count, 0, UINT16_MAX));
}

}  // namespace

DigestService::DigestService(DigestSettings settings, DigestDependencies dependencies)
    : settings_(settings),
      clock_(dependencies.clock),
      random_(dependencies.random),
      transport_(dependencies.transport),
      members_(dependencies.members),
      machine_list_(dependencies.machine_list),
      slot_timer_(dependencies.timers),
      document_(std::make_shared<const fleet::FleetDocument>()),
      outbox_(settings_.bytes_per_second),
      poller_(dependencies.engine_control, dependencies.members.self().node,
              [this](const LoadRecord& record) { on_own_record(record); }),
      cache_poller_(
          dependencies.engine_control, settings_,
          [this](const CacheRecord& record) { on_cache_record(record, topology_.tree.size()); }),
      leaving_machines_(settings_) {}

void DigestService::start() {
  const MonotonicTime now = clock_.now();
  next_machine_list_ = now + random_.jitter(settings_.shortest_machine_list_interval, 1.0);
  next_near_link_ = now + random_.jitter(settings_.aggregate_interval, 1.0);
  next_far_link_ = next_near_link_;
  next_demand_ = now;
  next_publication_ = now;
  cycle_start_ = now + Duration(random_.below(settings_.cycle.count()));
  slot_timer_.arm(cycle_start_ - now, [this] { run_slot(); });
}

void DigestService::on_document(std::shared_ptr<const fleet::FleetDocument> document) {
  document_ = std::move(document);
  document_changed_ = true;
}

void DigestService::on_demand(const std::vector<planner::DemandSample>& samples) {
  demand_.set_own(to_model_demand(samples));
}

void DigestService::run_slot() {
  if (slot_ == 0) {
    begin_cycle();
  } else {
    send_batch(topology_.tree.dimensions() - slot_);
  }
  slot_ = slot_ < topology_.tree.dimensions() ? slot_ + 1 : 0;
  if (slot_ == 0) {
    cycle_start_ += topology_.cycle;
  }
  arm_next_slot();
}

void DigestService::arm_next_slot() {
  const MonotonicTime now = clock_.now();
  if (now - cycle_start_ > topology_.cycle) {
    cycle_start_ = now;  // The process was paused; begin afresh.
    slot_ = 0;
  }
  const auto slots = static_cast<Duration::rep>(topology_.tree.dimensions() + 1);
  const Duration offset = topology_.cycle / slots * static_cast<Duration::rep>(slot_);
  slot_timer_.arm(std::max(cycle_start_ + offset - now, Duration::zero()), [this] { run_slot(); });
}

void DigestService::begin_cycle() {
  refresh_topology();
  const MonotonicTime now = clock_.now();
  poller_.poll(topology_.level, now);
  cache_poller_.poll(now);
  run_demand(now);
  run_links(now);
  run_machine_list(now);
}

void DigestService::refresh_topology() {
  if (members_version_ == members_.version() && !document_changed_) {
    return;
  }
  members_version_ = members_.version();
  const std::vector<membership::Member> members = members_.members();
  const std::uint64_t members_fingerprint = fingerprint(members);
  if (members_fingerprint == members_fingerprint_ && !document_changed_) {
    return;
  }
  members_fingerprint_ = members_fingerprint;
  if (std::exchange(document_changed_, false)) {
    layouts_ = server_layouts(*document_);
  }
  topology_ =
      make_topology(members_.self(), members, layouts_, document_->engines.size(), settings_);
  outbox_.reset(topology_.tree.dimensions());
  loads_.set_servers(topology_.group_servers);
  poller_.set_servers(topology_.assigned_servers);
  cache_poller_.set_servers(topology_.assigned_servers, topology_.tree.size());
}

void DigestService::run_demand(MonotonicTime now) {
  if (now < next_demand_) {
    return;
  }
  next_demand_ = now + random_.jitter(settings_.demand_interval, kJitter);
  const membership::Member* parent = topology_.tree.parent();
  if (parent == nullptr) {
    publish_group_demand(now);
    return;
  }
  const auto missed = static_cast<Duration::rep>(settings_.missed_intervals);
  send(parent->peer, DemandReport{demand_.total(now, missed * settings_.demand_interval)});
}

void DigestService::publish_group_demand(MonotonicTime now) {
  if (now < next_publication_) {
    return;
  }
  next_publication_ = now + random_.jitter(settings_.aggregate_interval, kJitter);
  const auto missed = static_cast<Duration::rep>(settings_.missed_intervals);
  ZoneAggregate aggregate;
  std::tie(aggregate.region, aggregate.zone) = group_zone();
  aggregate.demand = demand_.total(now, missed * settings_.demand_interval);
  aggregates_.apply(aggregate, now);
  outbox_.add_aggregate(group_zone(), topology_.tree.hops(topology_.tree.size()));
}

ZoneKey DigestService::group_zone() const {
  const membership::Member& self = members_.self();
  return topology_.whole_fleet ? ZoneKey{} : ZoneKey{self.region, self.zone};
}

void DigestService::run_links(MonotonicTime now) {
  const bool near = now >= next_near_link_;
  const bool far = now >= next_far_link_;
  if (topology_.links.empty() || (!near && !far)) {
    return;
  }
  const auto factor = static_cast<Duration::rep>(settings_.far_aggregate_factor);
  if (near) {
    next_near_link_ = now + random_.jitter(settings_.aggregate_interval, kJitter);
  }
  if (far) {
    next_far_link_ = now + random_.jitter(factor * settings_.aggregate_interval, kJitter);
  }
  for (const ZoneKey& zone : topology_.zones) {
    const ZoneLink message{aggregate_of(zone, now)};
    for (const LinkDuty& link : topology_.links) {
      if (link.far ? far : near) {
        send(link.to, message);
      }
    }
  }
}

ZoneAggregate DigestService::aggregate_of(const ZoneKey& zone, MonotonicTime now) const {
  ZoneAggregate aggregate;
  std::tie(aggregate.region, aggregate.zone) = zone;
  const auto own = aggregates_.find(zone, now);
  if (own && zone == group_zone()) {
    aggregate.demand = own->demand;
  }
  aggregate.loads = kind_loads(document_->engines, zone, loads_, now, settings_.load_expiry);
  return aggregate;
}

void DigestService::run_machine_list(MonotonicTime now) {
  if (machine_list_ == nullptr || now < next_machine_list_) {
    return;
  }
  const Duration shared =
      settings_.machine_list_interval * static_cast<Duration::rep>(topology_.members);
  const Duration interval = std::max(shared, settings_.shortest_machine_list_interval);
  // Widely spread, so that the nodes' reads fall evenly over time.
  next_machine_list_ = now + random_.jitter(interval, kReadJitter);
  ++statistics_.machine_list_reads;
  machine_list_->list([this, guard = std::weak_ptr<bool>(alive_)](auto result) {
    if (guard.expired() || result.has_error()) {
      return;
    }
    for (const LeavingNotice& notice : leaving_machines_.take(result.value(), clock_.now())) {
      flood(notice, Endpoint());
    }
  });
}

void DigestService::send_batch(std::size_t dimension) {
  const MonotonicTime now = clock_.now();
  Batch batch;
  batch.groups = outbox_.take(dimension, loads_, aggregates_, now);
  const std::size_t receiver = topology_.tree.position() + (std::size_t{1} << dimension);
  const bool sets_pace =
      receiver < topology_.tree.size() && (receiver & (receiver - 1)) == topology_.tree.position();
  if (batch.groups.empty() && !sets_pace) {
    return;
  }
  batch.phase_milliseconds = milliseconds(now - cycle_start_);
  ++statistics_.batches_sent;
  send(topology_.tree.neighbour(dimension).peer, batch);
}

void DigestService::follow_pace(const Endpoint& from, const Batch& batch) {
  const membership::Member* parent = topology_.tree.parent();
  if (parent == nullptr || parent->peer != from) {
    return;
  }
  const MonotonicTime now = clock_.now();
  MonotonicTime begin = now - std::chrono::milliseconds(batch.phase_milliseconds);
  // Of the beginnings one cycle apart, the nearest to this node's own.
  while (begin - cycle_start_ > topology_.cycle / 2) {
    begin -= topology_.cycle;
  }
  while (cycle_start_ - begin > topology_.cycle / 2) {
    begin += topology_.cycle;
  }
  const Duration shift = begin - cycle_start_;
  if (shift > kPaceTolerance || shift < -kPaceTolerance) {
    cycle_start_ = begin;
    arm_next_slot();
  }
}

std::optional<LoadReading> DigestService::load(const fleet::Engine& engine) const {
  const MonotonicTime now = clock_.now();
  const auto reading = loads_.find(engine.id);
  if (reading && now - reading->taken <= settings_.load_expiry) {
    return reading;
  }
  const auto factor =
      static_cast<Duration::rep>(settings_.missed_intervals * settings_.far_aggregate_factor);
  return aggregates_.load(engine, now, factor * settings_.aggregate_interval);
}

std::vector<planner::DemandSample> DigestService::demand(
    const std::optional<RegionName>& region) const {
  const MonotonicTime now = clock_.now();
  const auto factor =
      static_cast<Duration::rep>(settings_.missed_intervals * settings_.far_aggregate_factor);
  const bool fleet = topology_.whole_fleet;
  const std::vector<ModelDemand> demand =
      aggregates_.demand(fleet ? std::nullopt : region, now, factor * settings_.aggregate_interval);
  std::vector<planner::DemandSample> samples;
  for (const fleet::Model& model : document_->models) {
    const auto hash = static_cast<std::uint32_t>(stable_hash(model.name.value()));
    for (const ModelDemand& entry : demand) {
      if (entry.model == hash) {
        samples.push_back({model.name, now,
                           static_cast<double>(entry.deci_requests_per_second) / kDeci,
                           static_cast<double>(entry.prefill_tokens_per_second),
                           static_cast<double>(entry.decode_tokens_per_second),
                           static_cast<double>(entry.queued_requests)});
      }
    }
  }
  return samples;
}

void DigestService::on_message(const Endpoint& from, std::string_view payload) {
  const auto message = wire::decode<Message>(payload);
  if (message.has_error()) {
    ++statistics_.malformed_messages;
    return;
  }
  statistics_.bytes_received += payload.size();
  std::visit([&](const auto& alternative) { on(from, alternative); }, message.value());
}

void DigestService::on(const Endpoint& from, const Batch& message) {
  ++statistics_.batches_received;
  const MonotonicTime now = clock_.now();
  follow_pace(from, message);
  for (const RangeGroup& group : message.groups) {
    const std::vector<Hop> hops = topology_.tree.hops(group.range);
    for (const LoadRecord& record : group.loads) {
      ++statistics_.records_received;
      if (loads_.apply(record, now)) {
        outbox_.add_load(record.server, hops);
      } else {
        ++statistics_.records_repeated;
      }
    }
    for (const ZoneAggregate& aggregate : group.aggregates) {
      if (aggregates_.apply(aggregate, now)) {
        outbox_.add_aggregate({aggregate.region, aggregate.zone}, hops);
      }
    }
    for (const CacheRecord& record : group.caches) {
      on_cache_record(record, group.range);
    }
  }
}

void DigestService::on(const Endpoint& from, const DemandReport& message) {
  demand_.take(from, message, clock_.now());
}

void DigestService::on(const Endpoint& /*from*/, const ZoneLink& message) {
  if (aggregates_.apply(message.aggregate, clock_.now())) {
    outbox_.add_aggregate({message.aggregate.region, message.aggregate.zone},
                          topology_.tree.hops(topology_.tree.size()));
  }
}

void DigestService::on(const Endpoint& from, const LeavingNotice& message) {
  if (leaving_machines_.take(message, clock_.now())) {
    flood(message, from);
  }
}

void DigestService::flood(const LeavingNotice& notice, const Endpoint& except) {
  if (observer_ != nullptr) {
    observer_->on_machine_leaving(notice.machine, notice.leaving);
  }
  for (const auto* side : {&topology_.neighbours.near, &topology_.neighbours.far}) {
    for (const membership::Member& member : *side) {
      if (member.peer != except) {
        send(member.peer, notice);
      }
    }
  }
}

void DigestService::on_own_record(const LoadRecord& record) {
  if (loads_.apply(record, clock_.now())) {
    outbox_.add_load(record.server, topology_.tree.hops(topology_.tree.size()));
  }
}

void DigestService::on_cache_record(const CacheRecord& record, std::size_t range) {
  if (observer_ != nullptr) {
    observer_->on_cache_events(record.engine, record.incarnation, record.events);
  }
  outbox_.add_cache(record, topology_.tree.hops(range));
}

DigestStatistics DigestService::statistics() const {
  DigestStatistics statistics = statistics_;
  statistics.polls = poller_.polls();
  statistics.poll_failures = poller_.failures();
  statistics.budget = outbox_.statistics();
  statistics.servers_assigned = topology_.assigned_servers.size();
  statistics.group_nodes = topology_.tree.size();
  statistics.cycle_milliseconds = milliseconds(topology_.cycle);
  statistics.coarse = topology_.level == DetailLevel::kCoarse;
  return statistics;
}

void DigestService::send(const Endpoint& to, const Message& message) {
  std::string payload = wire::encode(message);
  statistics_.bytes_sent += payload.size();
  transport_.send(to, peer::Channel::kDigest, std::move(payload));
}

}  // namespace ochrespring::digest
