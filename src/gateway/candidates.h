// Which back ends are worth an estimate for one request.
#pragma once

#include <set>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/send_gate.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Back ends that may take a request.
struct Candidates {
  std::vector<const Backend*> backends;
  /// The one that all nodes rank first for the prompt's shared part; null: there is none.
  const Backend* home = nullptr;
};

/// Gathers candidates. Of a small fleet all are candidates. Of a large one those that are believed
/// to keep the prompt, its home, and some by chance: among thousands of engines that are mostly
/// idle the first ones decide, and the best of a few drawn is as good as the best of all wherever
/// they do not. Back ends that are left alone for now are taken only if there is no other. Pure.
class CandidateFinder {
 public:
  struct Query {
    ServiceName service;
    const Prompt* prompt = nullptr;  ///< Null: an ordinary request.
    const std::set<BackendId>* avoid = nullptr;
    /// Of the prompt, where not all back ends are looked at; see holders().
    std::vector<const Backend*> holders{};
    const SendGate* gate = nullptr;  ///< Null: all back ends have room.
  };

  CandidateFinder(const FleetState& fleet, const LoadTable& loads, RandomSource& random)
      : fleet_(fleet), loads_(loads), random_(random) {}

  Candidates find(const Query& query, bool readers, MonotonicTime now) const;
  /// Engines of either role that are believed to keep shared parts of the prompt.
  std::vector<const Backend*> holders(const Prompt& prompt, MonotonicTime now) const;
  /// Whether all back ends are looked at.
  bool walks_all() const { return fleet_.backends().size() <= kWalkAll; }

 private:
  /// Up to so many back ends of all services are looked at one by one: some 0.2 ms on a quarter of
  /// a core.
  static constexpr std::size_t kWalkAll = 512;
  /// Drawn by chance. With a third of all engines busy, one in 3^16 samples has no idle one; of the
  /// five zones of a large fleet it holds three from each on average.
  static constexpr std::size_t kSample = 16;
  /// Of those that keep a part; one or two do, as a rule.
  static constexpr std::size_t kMostHolders = 16;

  Candidates walk(const Query& query, bool readers, MonotonicTime now) const;
  Candidates sample(const Query& query, bool readers, MonotonicTime now) const;
  /// Ejected, or doubted: taken only if there is no other.
  bool left_alone(const Backend& backend, MonotonicTime now) const;
  /// Whether the request may be sent there at all.
  bool may_take(const Backend& backend, const Query& query, MonotonicTime now) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  RandomSource& random_;
};

}  // namespace ochrespring::gateway
