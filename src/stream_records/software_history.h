// Which software may have begun the streams of each service that callers can still take up.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/fleet_state.h"
#include "gateway/software_id.h"
#include "gateway/stream_registry.h"
#include "stream_records/types.h"

namespace ochrespring::stream_records {

/// Tells whether a service has had a single software for as long as callers take streams up, so
/// that it must have begun every one of them. Combines this node's view of the fleet, what it has
/// seen leave, what other nodes have seen, and the history in the shared store, which outlives all
/// nodes (HistoryKeeper). Used on one event loop.
class SoftwareHistory {
 public:
  /// A node whose view is older does not reach the store, and has nothing to tell others.
  static constexpr Duration kMaxViewAge{std::chrono::seconds(2)};
  /// A node whose view was not renewed for longer may have missed software that came and went.
  static constexpr Duration kMaxViewGap{std::chrono::seconds(4)};
  /// The times for which callers take streams up are rounded up to this one times a power of two,
  /// so that they seldom change.
  static constexpr Duration kMinStreamLifetime{std::chrono::seconds(16)};
  static constexpr Duration kMaxStreamLifetime = 256 * kMinStreamLifetime;

  /// The referenced objects must outlive the history.
  SoftwareHistory(const Clock& clock, const gateway::FleetState& fleet)
      : clock_(clock), fleet_(fleet) {}

  /// Called whenever the view is known to match the store.
  void note_view_current();
  /// Called when the view is replaced as a whole, so that software may have come and gone unseen.
  /// Streams without a record then go on only once the store was read.
  void note_view_replaced();
  /// Number of times at which software may have come and gone unseen: a read of the store that
  /// began before the latest one may lack it.
  std::uint64_t gaps() const { return gaps_; }
  /// Called for each configuration that is applied. Notices paths that it routes to another
  /// service: what they have begun at the former one counts as begun by software that was removed
  /// from the new one.
  void note_routes();
  void note_removed(const gateway::Backend& backend);
  /// A caller may take up a stream of the service for `lifetime` from now.
  void note_stream(const ServiceName& service, Duration lifetime);
  /// The only software that can have begun a stream of the service before `as_of` that callers
  /// still take up, or why there is none: kOutdatedView if only a confirmation of the view and
  /// of the store's history as of that moment is missing.
  gateway::StreamOrigin conclude(const ServiceName& service, MonotonicTime as_of) const;

  /// What a node that has just started needs to know of the time until `as_of`; none if this node's
  /// view is not confirmed as of then, or if it lacks the history itself.
  std::optional<SoftwareHistoryReport> report(MonotonicTime as_of) const;
  /// Called when the store's entry was applied, or not found, by a read that began at `begun`.
  void note_entry_read(MonotonicTime begun) { entry_read_at_ = begun; }
  /// Whether the view is recent, so that the store can probably be reached.
  bool is_view_current() const;
  /// Whether a route leads to the service whose streams may be taken up.
  bool is_resumable(const ServiceName& service) const { return resumable_.contains(service); }
  /// Whether this node knows a history that it can report once its view is confirmed.
  bool is_informed() const { return complete_since_ && informed_ && !rolled_back_at_; }
  void receive(const SoftwareHistoryReport& report);

  /// Whether this node lacks what the store has: it has started, or its view was out of date, or
  /// software was removed since, whose streams may live longer than this node knows. What any node
  /// noticed at `written_before` or earlier is in the store.
  bool needs_store(MonotonicTime written_before) const;
  /// Applies the contents of the store, which held then what any node noticed at `written_before`
  /// or earlier. Software that this node knows neither from its view nor as removed counts as
  /// removed at the moment.
  void apply(const StoredHistory& stored, MonotonicTime written_before);
  /// The same if the store held no history.
  void apply_nothing_stored(MonotonicTime written_before);
  /// What the store should contain if it contains `stored`; equal if there is nothing to change, or
  /// if this node does not know enough.
  StoredHistory update(const StoredHistory& stored);
  /// Called when the store was restored from an older copy.
  void on_store_rolled_back();

 private:
  struct Removal {
    MonotonicTime at{};      ///< When the latest back end that ran the software was removed.
    bool confirmed = false;  ///< The store was read later, so the lifetime of streams is known.
  };
  using SoftwareSet = std::set<gateway::SoftwareId>;
  struct ServiceHistory {
    Duration stream_lifetime = kMinStreamLifetime;
    std::map<gateway::SoftwareId, Removal> removed;
    SoftwareSet last_present;  ///< Running when record_present() was last called.
  };

  /// Whether this node knows what the store held at `as_of`.
  bool is_confirmed(MonotonicTime as_of) const;
  /// Software of the back ends that run requests of the service.
  SoftwareSet present(const ServiceName& service) const;
  bool may_have_streams(const ServiceHistory& service, const Removal& removal) const;
  void note_store_read(MonotonicTime written_before);
  /// What left from now on is known, but not what left before.
  void forget_completeness();
  void note_moved_route(const gateway::Route& former, const gateway::Route& route);
  /// Notices software that no back end runs any more although none was removed: an engine that now
  /// only reads prompts writes no events. Forgets removals whose streams have ended long ago.
  void record_present();
  bool knows_all_streams() const;
  void update_entry(StoredServiceHistory& entry, bool resumable);

  const Clock& clock_;
  const gateway::FleetState& fleet_;
  std::optional<MonotonicTime> complete_since_;  ///< All software since then is known.
  std::optional<MonotonicTime> view_current_at_;
  std::optional<MonotonicTime> entry_read_at_;  ///< Begin of the latest read of the store's entry.
  std::uint64_t gaps_ = 0;
  /// When the store was found restored from an older copy, until every node has had time to write
  /// again what that copy lacks.
  std::optional<MonotonicTime> rolled_back_at_;
  /// The following hold since the start, or since the view was out of date.
  bool store_read_ = false;
  bool informed_ = false;  ///< By the store, or by a node that the store has informed.
  std::map<ServiceName, ServiceHistory> services_;
  std::shared_ptr<const gateway::RouteTable> routes_;  ///< As of the last note_routes().
  std::set<ServiceName> resumable_;                    ///< Services of resumable routes.
};

}  // namespace ochrespring::stream_records
