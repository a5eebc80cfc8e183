// Detects which back ends this node cannot connect to although they may be running.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"

namespace ochrespring::links {

/// Opens a connection to a back end, without a relay, and tells whether that succeeded.
using LinkProbe =
    std::function<void(const Endpoint& backend, std::function<void(bool connected)> done)>;

/// Counters since the construction of the monitor.
struct LinkStatistics {
  std::uint64_t probes = 0;
  std::uint64_t links_cut = 0;   ///< Links that were found to be cut, one by one.
  std::uint64_t partitions = 0;  ///< Times at which all links were taken for cut.
};

/// Keeps the set of back ends whose link from this node is cut: connections to them are not tried,
/// but made through a relay.
///
/// A failed connection alone does not tell a cut link from a back end that has terminated. The link
/// counts as cut until a probe succeeds, or until a relay states that it cannot connect either.
/// Each newly cut link starts a survey: some other back ends are probed, and if none of them can be
/// reached, the node is partitioned and the links to all back ends count as cut.
///
/// Does no I/O itself. Not thread-safe; used on one event loop.
class LinkMonitor {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
  };

  LinkMonitor(Dependencies deps, LinkProbe probe);

  /// Whether connections to this back end should be made through a relay.
  bool is_cut(const Endpoint& backend) const { return cut_.contains(backend); }
  /// Whether no back end can be reached directly.
  bool is_partitioned() const { return partitioned_; }

  /// A direct connection could not be opened.
  void note_unreachable(const Endpoint& backend);
  /// An open connection failed or is silent. Probes the back end, unless that was done just before.
  void check(const Endpoint& backend);
  /// The back end has answered through a relay.
  void note_answered_relay(const Endpoint& backend) { absolve(backend); }
  /// A relay could not connect to the back end either, so that its link need not be cut.
  void note_unreachable_for_relay(const Endpoint& backend);
  /// The back end is no longer registered.
  void forget(const Endpoint& backend);

  /// Sets the callback for links that count as cut from now on.
  void on_cut(std::function<void(const Endpoint&)> callback) { on_cut_ = std::move(callback); }
  /// Sets the callback for back ends that were taken for unresponsive because of this node's links.
  void on_absolved(std::function<void(const Endpoint&)> callback) {
    on_absolved_ = std::move(callback);
  }
  const LinkStatistics& statistics() const { return statistics_; }
  std::size_t cut_count() const { return cut_.size(); }

 private:
  /// Why a link counts as cut.
  enum class Evidence : std::uint8_t {
    kObserved,  ///< A connection to this back end failed.
    kAssumed,   ///< The node is partitioned.
  };
  /// Probes of other back ends after a link was found to be cut.
  struct Survey {
    std::size_t pending = 0;
    bool any_connected = false;
  };

  void probe(const Endpoint& backend, std::function<void(bool connected)> done);
  void mark(const Endpoint& backend, Evidence evidence);
  void restore(const Endpoint& backend);
  void absolve(const Endpoint& backend) const {
    if (on_absolved_) {
      on_absolved_(backend);
    }
  }
  bool are_all_cut() const;
  void start_survey();
  void finish_survey();
  void assume_partition();
  void schedule_recovery();
  void probe_cut_links(std::size_t max_count);
  void on_recovered(const Endpoint& backend);
  /// Random addresses of registered back ends whose links count as cut, or do not.
  std::vector<Endpoint> sample(bool cut, std::size_t max_count);

  Dependencies deps_;
  LinkProbe probe_;
  std::map<Endpoint, Evidence> cut_;
  std::set<Endpoint> probing_;
  std::map<Endpoint, MonotonicTime> checked_at_;
  Survey survey_;
  std::optional<MonotonicTime> surveyed_at_;
  bool partitioned_ = false;
  Timer recovery_timer_;
  std::function<void(const Endpoint&)> on_cut_;
  std::function<void(const Endpoint&)> on_absolved_;
  LinkStatistics statistics_;
  /// Expires with the monitor, so that late results of probes are ignored.
  std::shared_ptr<LinkMonitor*> self_ = std::make_shared<LinkMonitor*>(this);
};

}  // namespace ochrespring::links
