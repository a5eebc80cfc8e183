// Order in which the queued requests of one service are sent. Pure; one loop.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gateway/request_queue.h"

namespace ochrespring::admission_queue {

/// Names a queued request; grows with each one.
using Handle = std::uint64_t;

/// Streams already begun come first; then requests that can still meet their target, by priority;
/// then those that no longer can, by deadline. Tenants of equal rank are scheduled by stride
/// scheduling (Waldspurger and Weihl, MIT/LCS/TM-528, 1995), charged with the cost of what was
/// sent. Every `kShareEvery`th request is of the class that was served least recently, so that each
/// class that waits gets a share.
class FairQueue {
 public:
  static constexpr std::uint64_t kShareInterval = 8;

  void push(Handle handle, const gateway::QueueRequest& request, MonotonicTime now);
  /// Without a charge: the request has left or was rejected. False: it does not wait here.
  bool remove(Handle handle);
  /// Removes a request that was sent and charges its tenant. False: it does not wait here.
  bool serve(Handle handle);
  /// The first request of each class, the one to be sent first in front.
  std::vector<Handle> first_of_each_class(MonotonicTime now);
  /// Requests that would be sent before a new one.
  std::size_t ahead_of(const gateway::QueueRequest& request, MonotonicTime now) const;
  /// Requests whose deadline is at `until` or before, earliest first.
  std::vector<Handle> due_by(MonotonicTime until) const;
  /// The earliest deadline after `time`.
  std::optional<MonotonicTime> next_due_after(MonotonicTime time) const;
  /// The last request of the largest group of one class and tenant, where that group is larger by
  /// at least two than that of `request`; none: nobody has to make room for it.
  std::optional<Handle> displaced_by(const gateway::QueueRequest& request) const;
  /// Requests that a queue may end by its own decision, oldest first.
  std::vector<Handle> rejectable() const;

  bool contains(Handle handle) const { return items_.contains(handle); }
  std::size_t size() const { return items_.size(); }
  std::size_t bytes() const { return bytes_; }
  /// Of one request that waits here.
  std::size_t bytes_of(Handle handle) const { return items_.at(handle).request.bytes; }
  /// Of one request that waits here.
  bool may_be_rejected(Handle handle) const { return items_.at(handle).request.may_be_rejected(); }
  /// Of one request that waits here.
  MonotonicTime joined(Handle handle) const { return items_.at(handle).joined; }
  /// When the oldest request joined.
  std::optional<MonotonicTime> oldest() const;
  /// Tenants of which anything is kept.
  std::size_t tenants() const { return tenants_.size(); }

 private:
  enum class Band : std::uint8_t { kBegun, kReturned, kNew, kLate };
  static constexpr std::size_t kBands = 4;
  static constexpr std::array kDisplacementOrder{Band::kLate, Band::kNew, Band::kReturned};
  static constexpr std::size_t kMinIdleTenants = 64;

  using ClassKey = std::pair<std::uint32_t, gateway::RouteName>;
  using Order = std::pair<MonotonicTime, Handle>;
  /// Requests of one class and band, by tenant.
  using TenantRequests = std::map<TenantName, std::set<Order>>;
  struct RequestClass {
    std::array<TenantRequests, kBands> bands;
    std::size_t size = 0;
    std::uint64_t last_served = 0;  ///< Number of the request in the order of sending.
  };
  struct Item {
    gateway::QueueRequest request;
    MonotonicTime joined{};
    Band band = Band::kNew;
  };
  struct TenantState {
    double pass = 0;
    std::size_t waiting = 0;
  };
  /// What decides between the heads of two classes; the lesser goes first.
  struct Rank {
    int stage = 0;  ///< Begun, on time, late.
    std::uint32_t priority = 0;
    bool is_new = false;
    double pass = 0;
    Order order;

    auto operator<=>(const Rank&) const = default;
  };

  static ClassKey class_of(const gateway::QueueRequest& request);
  static Band band_of(const gateway::QueueRequest& request, MonotonicTime now);
  static int stage_of(Band band);
  static Order order_of(Handle handle, const Item& item);
  Rank rank_of(Handle handle) const;
  Handle first_of(const TenantRequests& requests_of_band) const;
  std::optional<Handle> first_of(const RequestClass& members) const;
  std::optional<Handle> last_rejectable(const RequestClass& members,
                                        const TenantName& tenant) const;
  void add_to_band(Handle handle, const Item& item);
  void remove_from_band(Handle handle, const Item& item);
  void move_late_requests(MonotonicTime now);
  void erase(std::map<Handle, Item>::iterator found);
  void remove_idle_tenants();

  std::map<Handle, Item> items_;
  std::map<ClassKey, RequestClass> classes_;
  std::map<TenantName, TenantState> tenants_;
  std::set<Order> by_target_;  ///< Of those that are still on time.
  std::set<Order> by_deadline_;
  std::size_t bytes_ = 0;
  std::size_t active_tenants_ = 0;
  std::uint64_t served_ = 0;
  double pass_ = 0;  ///< Of the tenant that was served last; never falls.
};

}  // namespace ochrespring::admission_queue
