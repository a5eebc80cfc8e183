#include "peer_load/peer_work.h"

#include <algorithm>

namespace ochrespring::peer_load {

using gateway::EngineWorkload;

namespace {

/// Subtracts work that was added before; does not go below zero.
void subtract(EngineWorkload& sum, const EngineWorkload& work) {
  sum.requests -= std::min(sum.requests, work.requests);
  sum.pending_prefill_tokens -= std::min(sum.pending_prefill_tokens, work.pending_prefill_tokens);
}

}  // namespace

void PeerWork::apply(const WorkReport& report, MonotonicTime now) {
  for (const EngineWork& work : report.engines) {
    Engine& engine = direct_[work.engine];
    drop_expired(engine, now);
    if (engine.reports_by_node.empty()) {
      engine.oldest_report_at = now;
    }
    NodeReport& latest = engine.reports_by_node[report.node];
    // Datagrams may arrive out of order.
    if (latest.incarnation == report.incarnation && latest.sequence > report.sequence) {
      continue;
    }
    subtract(engine.sum, latest.work);
    latest = {
        report.incarnation, report.sequence, {work.requests, work.pending_prefill_tokens}, now};
    engine.sum += latest.work;
  }
}

void PeerWork::apply_relayed(const WorkReport& sums, MonotonicTime now) {
  for (const EngineWork& work : sums.engines) {
    relayed_[work.engine] = {{work.requests, work.pending_prefill_tokens}, now};
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
  if (now - found->second.oldest_report_at <= kReportLifetime) {
    return found->second.sum;
  }
  EngineWorkload sum;
  for (const auto& [node, latest] : found->second.reports_by_node) {
    if (now - latest.received_at <= kReportLifetime) {
      sum += latest.work;
    }
  }
  return sum;
}

EngineWorkload PeerWork::relayed_work_at(const gateway::BackendId& engine,
                                         MonotonicTime now) const {
  const auto found = relayed_.find(engine);
  if (found == relayed_.end() || now - found->second.received_at > kReportLifetime) {
    return {};
  }
  EngineWorkload others = found->second.work;
  if (own_work_) {
    subtract(others, own_work_(engine));
  }
  return others;
}

void PeerWork::drop_expired(Engine& engine, MonotonicTime now) {
  if (engine.reports_by_node.empty() || now - engine.oldest_report_at <= kReportLifetime) {
    return;
  }
  engine.oldest_report_at = now;
  std::erase_if(engine.reports_by_node, [&](const auto& entry) {
    const NodeReport& latest = entry.second;
    const bool expired = now - latest.received_at > kReportLifetime;
    if (expired) {
      subtract(engine.sum, latest.work);
    } else {
      engine.oldest_report_at = std::min(engine.oldest_report_at, latest.received_at);
    }
    return expired;
  });
}

}  // namespace ochrespring::peer_load
