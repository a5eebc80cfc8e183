#include "peer_load/peer_work.h"

namespace ochrespring::peer_load {

void PeerWork::apply(const WorkReport& report, MonotonicTime now) {
  for (const EngineWork& work : report.engines) {
    auto& nodes = told_[work.engine];
    std::erase_if(nodes, [&](const auto& entry) { return now - entry.second.at > kBelief; });
    Told& told = nodes[report.node];
    // Datagrams may overtake each other.
    if (told.life == report.life && told.sequence > report.sequence) {
      continue;
    }
    told = {report.life, report.sequence, work.requests, work.unread_tokens, now};
  }
}

gateway::OthersWork PeerWork::work_at(const gateway::BackendId& engine, MonotonicTime now) const {
  gateway::OthersWork sum;
  const auto found = told_.find(engine);
  if (found == told_.end()) {
    return sum;
  }
  for (const auto& [node, told] : found->second) {
    if (now - told.at <= kBelief) {
      sum.requests += told.requests;
      sum.unread_tokens += told.unread_tokens;
    }
  }
  return sum;
}

}  // namespace ochrespring::peer_load
