#include "engine_profiles/profile_exchange.h"

#include <utility>

#include "metrics/counter_table.h"
#include "wire/codec.h"

namespace ochrespring::engine_profiles {

namespace {

/// The kind of a message and the length of its lists, encoded.
constexpr std::size_t kEnvelopeBytes = 8;

constexpr metrics::CounterRow<ProfileExchangeStatistics> kCounters[] = {
    {"engine_profile_news_told", "Datagrams on engines' speed for other nodes",
     &ProfileExchangeStatistics::told},
    {"engine_profile_news_taken", "News of other nodes on engines' speed",
     &ProfileExchangeStatistics::taken},
    {"engine_profile_news_repeated", "Of these, known already",
     &ProfileExchangeStatistics::repeated},
    {"engine_profile_changes_dropped", "Changes that were too many to be told to other nodes",
     &ProfileExchangeStatistics::dropped},
};

}  // namespace

ProfileExchange::ProfileExchange(World world, NodeId node, Peers peers)
    : world_(world),
      node_(std::move(node)),
      life_(world.random.next()),
      peers_(std::move(peers)),
      period_(world.timers),
      gather_(world.timers) {
  world_.table.on_change([this](const gateway::BackendId& engine) { note_change(engine); });
}

/// Nodes that were started together do not tell at the same moments.
void ProfileExchange::start() {
  period_.arm(world_.random.part_of(kPeriod), [this] { tell_changes(); });
}

void ProfileExchange::note_change(const gateway::BackendId& engine) {
  if (changed_.size() < kMostChanges || changed_.contains(engine)) {
    changed_.insert(engine);
  } else {
    ++statistics_.dropped;
  }
}

void ProfileExchange::tell_changes() {
  period_.arm(kPeriod, [this] { tell_changes(); });
  repeat_long_streams();
  ProfileNews news = make_news();
  std::size_t bytes = kEnvelopeBytes + wire::encode(news).size();
  auto next = changed_.upper_bound(told_last_);
  while (!changed_.empty()) {
    if (next == changed_.end()) {
      next = changed_.begin();
    }
    EngineNews of_engine = world_.table.own_news(*next);
    const std::size_t more = wire::encode(of_engine).size();
    if (bytes + more > kMostBytes) {
      break;
    }
    bytes += more;
    world_.table.note_told(*next);
    if (of_engine.long_streams != 0) {
      streaming_[*next] = world_.clock.now();
    } else {
      streaming_.erase(*next);
    }
    told_last_ = *next;
    next = changed_.erase(next);
    news.engines.push_back(std::move(of_engine));
  }
  if (!news.engines.empty()) {
    ++statistics_.told;
    peers_.tell_all(news);
  }
}

void ProfileExchange::repeat_long_streams() {
  const MonotonicTime now = world_.clock.now();
  for (const auto& [engine, told_at] : streaming_) {
    if (now - told_at >= kRepeat) {
      note_change(engine);
    }
  }
}

ProfileNews ProfileExchange::make_news() {
  return {.node = node_, .life = life_, .sequence = ++sequence_, .engines = {}};
}

void ProfileExchange::take(const ProfileNews& news) {
  const Peer* peer = note_peer(news);
  if (peer == nullptr) {
    return;
  }
  const MonotonicTime now = world_.clock.now();
  for (const EngineNews& of_engine : news.engines) {
    world_.table.take(of_engine, peer->index, now);
  }
}

void ProfileExchange::take(const RelayedProfileNews& relayed) {
  for (const ProfileNews& news : relayed.news) {
    take(news);
  }
}

void ProfileExchange::take_to_relay(const ProfileNews& news) {
  const std::size_t bytes = wire::encode(news).size();
  if (kEnvelopeBytes + bytes > kMostBytes) {
    // No node sends this.
    return;
  }
  take(news);
  if (kEnvelopeBytes + to_zone_bytes_ + bytes > kMostBytes) {
    flush_relayed();
  }
  to_zone_.news.push_back(news);
  to_zone_bytes_ += bytes;
  if (!gather_.armed()) {
    gather_.arm(kGather, [this] { flush_relayed(); });
  }
}

void ProfileExchange::flush_relayed() {
  gather_.disarm();
  to_zone_bytes_ = 0;
  const RelayedProfileNews relayed = std::exchange(to_zone_, {});
  if (!relayed.news.empty()) {
    peers_.tell_zone(relayed);
  }
}

const ProfileExchange::Peer* ProfileExchange::note_peer(const ProfileNews& news) {
  if (news.node == node_) {
    return nullptr;
  }
  const MonotonicTime now = world_.clock.now();
  if (heard_.size() >= kMostPeers && !heard_.contains(news.node)) {
    std::erase_if(heard_,
                  [&](const auto& peer) { return now - peer.second.heard_at > kPeerSilence; });
    if (heard_.size() >= kMostPeers) {
      return nullptr;
    }
  }
  const auto [entry, fresh] = heard_.try_emplace(news.node);
  Peer& peer = entry->second;
  if (fresh) {
    peer.index = next_index_++;
  } else if (peer.life == news.life && news.sequence <= peer.sequence) {
    ++statistics_.repeated;
    return nullptr;
  }
  peer.life = news.life;
  peer.sequence = news.sequence;
  peer.heard_at = now;
  ++statistics_.taken;
  return &peer;
}

void ProfileExchange::tell_all(const std::function<void(const ProfileNews&)>& send) {
  const MonotonicTime now = world_.clock.now();
  ProfileNews news = make_news();
  std::size_t bytes = kEnvelopeBytes + wire::encode(news).size();
  std::size_t answers = 0;
  const auto flush = [&] {
    if (!news.engines.empty()) {
      ++answers;
      send(news);
    }
    news = make_news();
    bytes = kEnvelopeBytes + wire::encode(news).size();
  };
  world_.table.for_each_known(now, [&](EngineNews of_engine) {
    const std::size_t more = wire::encode(of_engine).size();
    if (bytes + more > kMostBytes) {
      flush();
    }
    bytes += more;
    news.engines.push_back(std::move(of_engine));
    return answers < kMostAnswers;
  });
  if (answers < kMostAnswers) {
    flush();
  }
}

void ProfileExchange::forget(const gateway::BackendId& engine) {
  changed_.erase(engine);
  streaming_.erase(engine);
  world_.table.forget(engine);
}

void ProfileExchange::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
}

}  // namespace ochrespring::engine_profiles
