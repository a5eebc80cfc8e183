// This node's view of the fleet: the active configuration and the registered back ends. Written by
// the watcher of the shared store, read by requests; used from one event loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "gateway/backend_index.h"
#include "gateway/route_table.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Active configuration and registered back ends, as this node knows them. Used from one event
/// loop.
class FleetState {
 public:
  /// Applies a configuration if it is newer than the active one or, if `same_version_allowed`, has
  /// the same version: an operator may publish another document of that version after the store was
  /// rolled back. Returns whether it was applied.
  bool apply(Configuration configuration, bool same_version_allowed = false);
  /// Adds or replaces a back end; returns whether anything changed. One whose software version has
  /// changed is removed and added, as it is another process.
  bool put(Backend backend);
  /// Removes a back end; returns whether it was known.
  bool remove(const BackendId& id);
  /// Replaces all back ends by `listed`.
  void replace(std::vector<Backend> listed);

  /// Null until the first configuration.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  const std::map<BackendId, Backend>& backends() const { return backends_; }
  const Backend* find(const BackendId& id) const;
  /// The known incarnations of a back end, usually one.
  std::vector<BackendId> incarnations_of(std::string_view name) const;
  /// Whether a back end has announced that it is leaving. This holds while its incarnation is
  /// registered: if the store later says otherwise, it was restored from an older copy or a delayed
  /// write has overwritten the entry, and a leaving back end must get no new requests. Ids of back
  /// ends that are no longer registered may be dropped, see kMaxRememberedIds.
  bool is_leaving(const Backend& backend) const {
    return backend.draining || leaving_.contains(backend.id);
  }
  bool is_leaving(const BackendId& id) const;
  /// Records that a back end has announced to this node or another one that it is leaving.
  void note_leaving(const BackendId& id);
  /// The back ends that have announced it, registered or not.
  const std::set<BackendId>& leaving() const { return leaving_; }
  /// Handles a restore of the store from an older copy, which may list back ends that have
  /// terminated since. Until `until`, back ends removed before the restore are distrusted if they
  /// are listed again.
  void distrust_removed(MonotonicTime until);
  /// Whether a back end may have terminated although it is listed; it is then used only if there is
  /// no alternative.
  bool is_distrusted(const BackendId& id, MonotonicTime now) const {
    return now < distrusted_until_ && distrusted_.contains(id);
  }
  const BackendIndex& index() const { return index_; }

  /// Records when the store last answered with its newest state.
  void note_current(MonotonicTime at) { current_at_ = at; }
  std::optional<MonotonicTime> current_at() const { return current_at_; }
  /// Records that the view contains everything that the store held at `at`, by a read of this node
  /// that began then. `current_at()` may be later: it also counts news of other nodes, which may
  /// have been under way for any time.
  void note_confirmed(MonotonicTime at) { confirmed_at_ = at; }
  std::optional<MonotonicTime> confirmed_at() const { return confirmed_at_; }

  /// Sets the callback for each configuration that has been applied.
  void on_applied(std::function<void()> callback) { applied_ = std::move(callback); }
  /// Sets the callback for a back end that has been added.
  void on_added(std::function<void(const Backend&)> callback) { added_ = std::move(callback); }
  /// Sets the callback for a back end that has begun or ceased to only read prompts.
  void on_role_changed(std::function<void(const Backend& former, const Backend& now)> callback) {
    role_changed_ = std::move(callback);
  }
  /// Sets the callback for a back end that has been removed.
  void on_removed(std::function<void(const Backend&)> callback) { removed_ = std::move(callback); }

 private:
  /// Far more than leave within the time in which an older copy of the store may list them again.
  static constexpr std::size_t kMaxRememberedIds = 16'384;

  void note_added(const Backend& backend);
  void note_removed(const Backend& backend);
  void note_replaced(const Backend& former, const Backend& now);

  std::shared_ptr<const RouteTable> routes_;
  std::map<BackendId, Backend> backends_;
  BackendIndex index_;               ///< Index of `backends_`.
  std::set<BackendId> leaving_;      ///< Those that have announced it, including removed ones.
  std::set<BackendId> removed_ids_;  ///< Removed since the store was last rolled back.
  std::set<BackendId> distrusted_;   ///< Removed before that.
  MonotonicTime distrusted_until_{};
  std::optional<MonotonicTime> current_at_;
  std::optional<MonotonicTime> confirmed_at_;
  std::function<void()> applied_;
  std::function<void(const Backend&)> added_;
  std::function<void(const Backend&)> removed_;
  std::function<void(const Backend& former, const Backend& now)> role_changed_;
};

}  // namespace ochrespring::gateway
