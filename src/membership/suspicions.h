// Members under suspicion and when each is declared dead: sooner the more members accuse it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "membership/settings.h"

namespace ochrespring::membership {

/// Pure bookkeeping; time is passed in.
class Suspicions {
 public:
  explicit Suspicions(const MembershipSettings& settings) : settings_(settings) {}

  /// Notes an accusation. Returns whether it is news worth passing on: a new accuser, up to the
  /// number needed.
  bool accuse(const NodeId& node, Incarnation incarnation, std::uint32_t accuser,
              MonotonicTime now);
  /// The member refuted, left or died.
  void clear(const NodeId& node) { suspects_.erase(node); }
  /// Members whose time to refute has passed.
  std::vector<NodeId> expired(MonotonicTime now) const;
  /// Incarnation under suspicion.
  Incarnation incarnation(const NodeId& node) const;
  /// Gives every suspect more time, because this node itself was not listening.
  void postpone(Duration span);
  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    Incarnation incarnation;
    MonotonicTime since;
    std::set<std::uint32_t> accusers;
  };
  Duration time_to_refute(const Suspect& suspect) const;

  const MembershipSettings& settings_;
  std::map<NodeId, Suspect> suspects_;
};

}  // namespace ochrespring::membership
