// Which software the back ends of each service have run recently.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/fleet_state.h"
#include "gateway/software_id.h"
#include "stream_records/types.h"

namespace ochrespring::stream_records {

/// Tells whether a service has had a single software for a while, so that it must have begun every
/// stream of that time. Combines this node's view of the fleet with what it has seen leave, and a
/// starting node with what other nodes have seen. Used on one event loop.
class SoftwareHistory {
 public:
  /// The view must be this recent: nodes that reach the store renew it more often.
  static constexpr Duration kMaxViewAge{std::chrono::seconds(2)};

  /// The referenced objects must outlive the history.
  SoftwareHistory(const Clock& clock, const gateway::FleetState& fleet)
      : clock_(clock), fleet_(fleet) {}

  /// Called whenever the view is known to match the store.
  void note_view_current();
  void note_removed(const gateway::Backend& backend);
  /// The only software that back ends of the service that run requests have had in the last `span`;
  /// none if there were several, or if this node cannot know.
  std::optional<gateway::SoftwareId> sole_software(const ServiceName& service, Duration span) const;

  /// What a node that has just started needs to know; none if this node's view is not current.
  std::optional<SoftwareHistoryReport> report() const;
  void receive(const SoftwareHistoryReport& report);

 private:
  /// Longer than the lifetime of any stream.
  static constexpr Duration kRetention{std::chrono::minutes(10)};

  bool is_view_current() const;
  void remove_expired();

  const Clock& clock_;
  const gateway::FleetState& fleet_;
  std::optional<MonotonicTime> complete_since_;
  /// When the latest back end that ran the software was removed.
  std::map<ServiceName, std::map<gateway::SoftwareId, MonotonicTime>> removed_;
};

}  // namespace ochrespring::stream_records
