// What the other nodes do at engines, as far as they have told.
#pragma once

#include <map>

#include "base/time.h"
#include "gateway/peer_view.h"
#include "peer_load/types.h"

namespace ochrespring::peer_load {

/// Pure; one loop. A report counts until a newer one of the same node names the engine, or for
/// `kBelief`: a node that died or was cut off tells no end of its work.
class PeerWork final : public gateway::PeerView {
 public:
  static constexpr Duration kBelief{std::chrono::milliseconds(2500)};

  void apply(const WorkReport& report, MonotonicTime now);
  /// The engine has gone; its id is not used again.
  void forget(const gateway::BackendId& engine) { told_.erase(engine); }
  gateway::OthersWork work_at(const gateway::BackendId& engine, MonotonicTime now) const override;

 private:
  struct Told {
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    std::uint32_t requests = 0;
    std::uint64_t unread_tokens = 0;
    MonotonicTime at{};
  };

  std::map<gateway::BackendId, std::map<NodeId, Told>> told_;
};

}  // namespace ochrespring::peer_load
