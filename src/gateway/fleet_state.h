// What this node believes about the fleet: the configuration in force and the registered back ends.
// Written by whoever watches the shared store, read by requests; one loop.
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

class FleetState {
 public:
  /// Takes a configuration if it is newer than the one in force, or, where `reissued`, has the same
  /// version; returns whether it was taken.
  bool apply(Configuration configuration, bool reissued = false);
  /// Adds or replaces a back end; returns whether anything changed.
  bool put(Backend backend);
  /// Forgets a back end; returns whether it was known.
  bool remove(const BackendId& id);
  /// Keeps only the back ends that `listed` holds, with what it says of them.
  void replace(std::vector<Backend> listed);

  /// Null until the first configuration.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  const std::map<BackendId, Backend>& backends() const { return backends_; }
  const Backend* find(const BackendId& id) const;
  /// The lives that are known of a back end: mostly one.
  std::vector<BackendId> incarnations_of(std::string_view name) const;
  /// Whether a back end has said that it leaves. In its life that is final: where the store says
  /// otherwise later, an older copy of it or an overtaken write has undone it, and a back end that
  /// leaves must get nothing new.
  bool is_leaving(const Backend& backend) const {
    return backend.draining || leaving_.contains(backend.id);
  }
  bool is_leaving(const BackendId& id) const;
  /// A back end has said itself that it leaves, to this node or to another.
  void note_leaving(const BackendId& id);
  /// The back ends that have said so, registered or not.
  const std::set<BackendId>& leaving() const { return leaving_; }
  /// The store has been set back: until `until` back ends that had gone are doubted where it shows
  /// them, for its copy may be older than their end.
  void distrust_removed(MonotonicTime until);
  /// Whether a back end may be one that has gone: not to be used while there are others.
  bool is_distrusted(const BackendId& id, MonotonicTime now) const {
    return now < doubted_until_ && doubted_.contains(id);
  }
  const BackendIndex& index() const { return index_; }

  /// When the store last answered with the newest state.
  void note_current(MonotonicTime at) { current_at_ = at; }
  std::optional<MonotonicTime> current_at() const { return current_at_; }

  /// Called after a back end has come to be known.
  void on_added(std::function<void(const Backend&)> callback) { added_ = std::move(callback); }
  /// Called after a back end has gone.
  void on_removed(std::function<void(const Backend&)> callback) { removed_ = std::move(callback); }

 private:
  /// Many more than leave within the time in which an older copy may show them again.
  static constexpr std::size_t kMostLeaving = 16'384;

  void note_added(const Backend& backend);
  void note_gone(const Backend& backend);

  std::shared_ptr<const RouteTable> routes_;
  std::map<BackendId, Backend> backends_;
  BackendIndex index_;           ///< Of `backends_`.
  std::set<BackendId> leaving_;  ///< All that have said so, gone ones too.
  std::set<BackendId> gone_;     ///< Since the store was set back last.
  std::set<BackendId> doubted_;  ///< Gone before that.
  MonotonicTime doubted_until_{};
  std::optional<MonotonicTime> current_at_;
  std::function<void(const Backend&)> added_;
  std::function<void(const Backend&)> removed_;
};

}  // namespace ochrespring::gateway
