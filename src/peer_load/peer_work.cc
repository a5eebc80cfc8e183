#include "peer_load/peer_work.h"

#include <algorithm>

namespace ochrespring::peer_load {

using gateway::EngineWorkload;

namespace {

/// Takes off what was added before, or at most all.
void take_off(EngineWorkload& sum, const EngineWorkload& work) {
  sum.requests -= std::min(sum.requests, work.requests);
  sum.pending_prefill_tokens -= std::min(sum.pending_prefill_tokens, work.pending_prefill_tokens);
}

}  // namespace

void PeerWork::apply(const WorkReport& report, MonotonicTime now) {
  for (const EngineWork& work : report.engines) {
    Engine& engine = direct_[work.engine];
    drop_outdated(engine, now);
    if (engine.nodes.empty()) {
      engine.oldest = now;
    }
    Told& told = engine.nodes[report.node];
    // Datagrams may overtake each other.
    if (told.life == report.life && told.sequence > report.sequence) {
      continue;
    }
    take_off(engine.sum, told.work);
    told = {report.life, report.sequence, {work.requests, work.unread_tokens}, now};
    engine.sum += told.work;
  }
}

void PeerWork::apply_relayed(const WorkReport& sums, MonotonicTime now) {
  for (const EngineWork& work : sums.engines) {
    relayed_[work.engine] = {{work.requests, work.unread_tokens}, now};
  }
}

void PeerWork::forget(const gateway::BackendId& engine) {
  direct_.erase(engine);
  relayed_.erase(engine);
}

EngineWorkload PeerWork::work_at(const gateway::BackendId& engine, MonotonicTime now) const {
  const EngineWorkload direct = direct_work_at(engine, now);
  const EngineWorkload relayed = relayed_work_at(engine, now);
  return {std::max(direct.requests, relayed.requests),
          std::max(direct.pending_prefill_tokens, relayed.pending_prefill_tokens)};
}

EngineWorkload PeerWork::direct_work_at(const gateway::BackendId& engine, MonotonicTime now) const {
  const auto found = direct_.find(engine);
  if (found == direct_.end()) {
    return {};
  }
  if (now - found->second.oldest <= kBelief) {
    return found->second.sum;
  }
  EngineWorkload sum;
  for (const auto& [node, told] : found->second.nodes) {
    if (now - told.at <= kBelief) {
      sum += told.work;
    }
  }
  return sum;
}

EngineWorkload PeerWork::relayed_work_at(const gateway::BackendId& engine,
                                         MonotonicTime now) const {
  const auto found = relayed_.find(engine);
  if (found == relayed_.end() || now - found->second.at > kBelief) {
    return {};
  }
  EngineWorkload others = found->second.work;
  if (own_) {
    take_off(others, own_(engine));
  }
  return others;
}

void PeerWork::drop_outdated(Engine& engine, MonotonicTime now) {
  if (engine.nodes.empty() || now - engine.oldest <= kBelief) {
    return;
  }
  engine.oldest = now;
  std::erase_if(engine.nodes, [&](const auto& entry) {
    const Told& told = entry.second;
    const bool outdated = now - told.at > kBelief;
    if (outdated) {
      take_off(engine.sum, told.work);
    } else {
      engine.oldest = std::min(engine.oldest, told.at);
    }
    return outdated;
  });
}

}  // namespace ochrespring::peer_load
