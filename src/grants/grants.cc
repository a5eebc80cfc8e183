#include "grants/grants.h"

#include <algorithm>
#include <utility>

#include "authority/shards.h"
#include "wire/codec.h"

namespace ochrespring::grants {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
constexpr Duration kPublishDelay = std::chrono::milliseconds(10);
constexpr double kJitter = 0.2;

}  // namespace

Grants::Grants(const GrantDependencies& dependencies, const GrantSettings& settings)
    : dependencies_(dependencies),
      settings_(settings),
      self_(dependencies.members.self().node),
      self_endpoint_(dependencies.members.self().peer),
      boot_(dependencies.random.next()),
      table_(settings),
      tick_timer_(dependencies.timers),
      publish_timer_(dependencies.timers),
      local_timer_(dependencies.timers) {
  dependencies_.leases.add_observer(*this);
  tick_timer_.arm(dependencies_.random.jitter(kTick, 0.5), [this] { tick(); });
}

Grants::~Grants() {
  dependencies_.leases.remove_observer(*this);
}

void Grants::configure(const fleet::FleetDocument& document, const std::set<ZoneName>& zones) {
  engines_ = document.engines;
  zones_.clear();
  std::vector<EngineSite> sites;
  const authority::ShardLayout layout{document.revision,
                                      std::max<std::uint32_t>(document.policy.shards, 1)};
  for (const fleet::Engine& engine : engines_) {
    if (!zones.empty() && !zones.contains(engine.zone)) {
      continue;
    }
    zones_.insert(engine.zone);
    sites.push_back({engine.id, engine.server, engine.zone});
    const auto [entry, added] = layouts_.try_emplace(engine.zone, layout);
    // A proxy that follows its own configuration ahead of the holders would find none; it follows
    // what nodes of the authority answer.
    if (added || entry->second.shards == layout.shards) {
      entry->second = layout;
    }
  }
  table_.set_engines(sites);
  for (auto& [key, ledger] : ledgers_) {
    const auto lease = dependencies_.leases.held(key);
    if (lease) {
      on_lease_gained(*lease);
    }
  }
  changed();
}

void Grants::set_in_flight(std::function<std::uint32_t(const EngineId&)> in_flight) {
  in_flight_ = std::move(in_flight);
}

void Grants::set_on_change(std::function<void()> on_change) {
  on_change_ = std::move(on_change);
}

void Grants::changed() {
  if (on_change_) {
    on_change_();
  }
}

std::uint32_t Grants::shards_of(const ZoneName& zone) const {
  const auto found = layouts_.find(zone);
  return found == layouts_.end() ? 1 : found->second.shards;
}

void Grants::tick() {
  tick_timer_.arm(kTick, [this] { tick(); });
  const MonotonicTime now = dependencies_.clock.now();
  for (auto& [key, ledger] : ledgers_) {
    ledger.expire(now);
  }
  std::erase_if(own_, [&](const auto& entry) {
    return !zones_.contains(entry.first.zone) ||
           entry.first.shard.value() >= shards_of(entry.first.zone);
  });
  for (const ZoneName& zone : zones_) {
    for (std::uint32_t shard = 0; shard < shards_of(zone); ++shard) {
      const authority::ShardKey key{zone, ShardId(shard)};
      OwnRequest& own = own_[key];
      const bool late = !own.answered && now >= own.sent + settings_.retry;
      if (now >= own.next || late) {
        request(key, own);
      }
    }
  }
}

void Grants::request(const authority::ShardKey& key, OwnRequest& own) {
  const MonotonicTime now = dependencies_.clock.now();
  if (!own.answered) {
    ++own.attempts;
    own.holder = Endpoint();
  }
  own.round = ++last_round_;
  own.sent = now;
  own.answered = false;
  own.next = now + dependencies_.random.jitter(settings_.interval, kJitter);
  const Endpoint to = target(key, own);
  if (to.empty()) {
    return;
  }
  GrantRequest message;
  message.key = key;
  message.shards = shards_of(key.zone);
  message.proxy = self_;
  message.boot = boot_;
  message.round = own.round;
  message.applied = table_.applied(key, message.shards);
  for (const EngineId& engine : table_.restricted(key, message.shards)) {
    const std::uint32_t requests = in_flight_ ? in_flight_(engine) : 0;
    if (requests > 0) {
      message.in_flight.push_back({engine, requests});
    }
  }
  if (!message.in_flight.empty()) {
    own.next = now + settings_.retry;  // A drain waits for these counts.
  }
  ++statistics_.requests_sent;
  send(to, message);
}

/// The last known holder, or else the candidates in turn.
Endpoint Grants::target(const authority::ShardKey& key, const OwnRequest& own) const {
  if (!own.holder.empty()) {
    return own.holder;
  }
  const auto ranked = authority::rank_candidates(key, dependencies_.members.members());
  if (ranked.empty()) {
    return Endpoint();
  }
  constexpr std::size_t kTried = 3;
  return ranked[own.attempts % std::min(ranked.size(), kTried)].peer;
}

GrantLedger* Grants::ledger(const authority::ShardKey& key) {
  const auto found = ledgers_.find(key);
  return found == ledgers_.end() ? nullptr : &found->second;
}

std::vector<fleet::Engine> Grants::engines_of(const authority::ShardKey& key,
                                              std::uint32_t shards) const {
  std::vector<fleet::Engine> result;
  std::copy_if(engines_.begin(), engines_.end(), std::back_inserter(result),
               [&](const fleet::Engine& engine) {
                 return engine.zone == key.zone &&
                        authority::shard_of(engine.server, shards) == key.shard;
               });
  return result;
}

void Grants::on_lease_gained(const authority::HeldLease& lease) {
  const auto [entry, added] = ledgers_.try_emplace(lease.key, lease.epoch, lease.gained, settings_);
  std::vector<EngineId> engines;
  for (const fleet::Engine& engine : engines_of(lease.key, lease.layout.shards)) {
    engines.push_back(engine.id);
  }
  entry->second.set_engines(engines);
}

void Grants::on_lease_lost(const authority::ShardKey& key) {
  ledgers_.erase(key);
  to_publish_.erase(key);
}

void Grants::publish(const authority::ShardKey& key) {
  to_publish_.insert(key);
  if (!publish_timer_.armed()) {
    publish_timer_.arm(kPublishDelay, [this] { send_notices(); });
  }
}

void Grants::send_notices() {
  for (const authority::ShardKey& key : std::exchange(to_publish_, {})) {
    const auto lease = dependencies_.leases.held(key);
    const GrantLedger* shard = ledger(key);
    if (!lease || shard == nullptr) {
      continue;
    }
    const RulesNotice notice{key, lease->layout.shards, shard->rules()};
    for (const Endpoint& proxy : shard->proxies(dependencies_.clock.now())) {
      ++statistics_.notices_sent;
      send(proxy, notice);
    }
  }
}

void Grants::on_message(const Endpoint& from, std::string_view payload) {
  const auto message = wire::decode<GrantMessage>(payload);
  if (message.has_error()) {
    ++statistics_.messages_malformed;
    return;
  }
  std::visit([&](const auto& alternative) { handle(from, alternative); }, message.value());
}

void Grants::handle(const Endpoint& from, const GrantRequest& request) {
  const auto lease = dependencies_.leases.held(request.key);
  GrantLedger* shard = ledger(request.key);
  // The lease is asked for at this moment: this process may have been paused since it last knew.
  if (!lease || shard == nullptr || lease->layout.shards != request.shards) {
    const auto hint = dependencies_.leases.holder_hint(request.key);
    send(from,
         NotHolderReply{request.key, request.round, dependencies_.leases.layout(request.key.zone),
                        hint ? hint->peer : Endpoint()});
    return;
  }
  ++statistics_.requests_answered;
  send(from, shard->on_request(request, from, dependencies_.clock.now()));
}

void Grants::handle(const Endpoint& from, const GrantReply& reply) {
  const auto own = own_.find(reply.key);
  if (own == own_.end() || own->second.round != reply.round) {
    return;
  }
  ++statistics_.grants_received;
  const GrantVersion before = table_.applied(reply.key, reply.shards);
  table_.on_reply(reply, own->second.sent, dependencies_.clock.now());
  own->second.answered = true;
  own->second.attempts = 0;
  own->second.holder = from;
  if (table_.applied(reply.key, reply.shards) != before && !reply.rules->restricted.empty()) {
    own->second.next = dependencies_.clock.now();  // Acknowledge soon.
  }
  changed();
}

void Grants::handle(const Endpoint& /*from*/, const NotHolderReply& reply) {
  const auto layout = layouts_.find(reply.key.zone);
  if (layout != layouts_.end() && reply.layout.revision >= layout->second.revision) {
    layout->second = reply.layout;
  }
  const auto own = own_.find(reply.key);
  if (own == own_.end() || own->second.round != reply.round) {
    return;
  }
  const Endpoint previous = std::exchange(own->second.holder, reply.hint);
  if (previous != reply.hint && !reply.hint.empty()) {
    own->second.answered = true;
    own->second.next = dependencies_.clock.now();
  }
}

void Grants::handle(const Endpoint& /*from*/, const RulesNotice& notice) {
  if (!table_.on_rules(notice.key, notice.shards, notice.rules, dependencies_.clock.now())) {
    return;
  }
  changed();
  const auto own = own_.find(notice.key);
  if (own != own_.end()) {
    own->second.answered = true;
    request(notice.key, own->second);  // Acknowledges.
  }
}

void Grants::send(const Endpoint& to, const GrantMessage& message) {
  if (to != self_endpoint_) {
    std::string payload = wire::encode(message);
    statistics_.bytes_sent += payload.size();
    dependencies_.transport.send(to, peer::Channel::kGrant, std::move(payload));
    return;
  }
  local_.emplace_back(self_endpoint_, message);
  if (!local_timer_.armed()) {
    local_timer_.arm(Duration::zero(), [this] {
      for (const auto& [from, own_message] : std::exchange(local_, {})) {
        std::visit([&](const auto& alternative) { handle(from, alternative); }, own_message);
      }
    });
  }
}

}  // namespace ochrespring::grants
