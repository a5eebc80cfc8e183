// Selects the back ends for which the cost of a request is estimated.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/send_gate.h"
#include "gateway/software_id.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Back ends that may receive a request.
struct Candidates {
  std::vector<const Backend*> backends;
  /// The back end that all nodes rank first for the prompt's shared prefix, among the back ends
  /// that they consider: nodes with another view of their health may differ. Null: there is none.
  const Backend* home = nullptr;
};

/// Finds the candidates for a request among the back ends of a service and role that may receive
/// it. In a small fleet, and for requests without a prompt in a small service, all of them are
/// candidates. Otherwise the candidates are those assumed to have the prompt cached, its home, and
/// a random sample: among thousands of mostly idle engines the cache and the home decide, and
/// elsewhere the best of a small sample is as good as the best of all. If these are none, all are
/// candidates. Ejected, mostly refusing and distrusted back ends are candidates only if there are
/// no others. Changes no state but that of `random`.
class CandidateFinder {
 public:
  struct Query {
    ServiceName service;
    const Prompt* prompt = nullptr;              ///< Null: the request is not for a model engine.
    const std::set<BackendId>* avoid = nullptr;  ///< Never candidates; must not be null.
    /// Engines that have parts of the prompt cached, unless considers_all(); see holders().
    std::vector<const Backend*> holders{};
    const SendGate* gate = nullptr;  ///< Null: all back ends accept requests.
    /// The only software that may run the request; none: any. Prefill engines write no events, so
    /// theirs does not matter.
    std::optional<SoftwareId> software{};
  };

  CandidateFinder(const FleetState& fleet, const LoadTable& loads, RandomSource& random)
      : fleet_(fleet), loads_(loads), random_(random) {}

  Candidates find(const Query& query, bool prefill, MonotonicTime now) const;
  /// Engines of either role that are assumed to have shared parts of the prompt cached.
  std::vector<const Backend*> holders(const Prompt& prompt, MonotonicTime now) const;
  /// Whether all back ends of the fleet are considered, instead of a sample.
  bool considers_all() const { return fleet_.backends().size() <= kFullScanLimit; }

 private:
  /// Largest fleet that is scanned in full; a scan of it takes some 0.2 ms on a quarter of a core.
  static constexpr std::size_t kFullScanLimit = 512;
  /// Size of the random sample. With a third of all engines busy, one in 3^16 samples has no idle
  /// one; with five zones it holds three engines of each on average.
  static constexpr std::size_t kSampleSize = 16;
  /// Maximum number of engines considered that have a part cached; usually there are one or two.
  static constexpr std::size_t kMaxHolders = 16;

  Candidates full_scan(const Query& query, bool prefill, MonotonicTime now) const;
  Candidates sample(const Query& query, bool prefill, MonotonicTime now) const;
  /// Whether the back end is ejected, refuses most requests, or is distrusted: used only if there
  /// is no alternative.
  bool is_last_resort(const Backend& backend, MonotonicTime now) const;
  /// Whether the request may be sent to the back end at all.
  bool is_eligible(const Backend& backend, const Query& query, MonotonicTime now) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  RandomSource& random_;
};

}  // namespace ochrespring::gateway
