// The order in which the queued requests of one service are sent. Performs no I/O and uses no
// timers; must be used from one event loop.
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

/// Identifies a queued request; increases with each one.
using Handle = std::uint64_t;

/// Streams that have begun come first, then requests that can still meet their target, by priority,
/// retried ones before new ones, then those that no longer can. Late requests ignore priority; they
/// are ordered by tenant pass, then by deadline. A class consists of the requests of one priority
/// and route. Tenants of equal rank are scheduled by stride scheduling (Waldspurger and Weihl,
/// MIT/LCS/TM-528, 1995) and charged with the cost of the requests sent. Every `kShareInterval`th
/// request is taken from the class that was served least recently, unless a stream that has begun
/// is waiting, so that each waiting class gets a share.
class FairQueue {
 public:
  static constexpr std::uint64_t kShareInterval = 8;

  void push(Handle handle, const gateway::QueueRequest& request, MonotonicTime now);
  /// Removes a request that left or was rejected, without charging its tenant. Returns false if it
  /// is not in the queue.
  bool remove(Handle handle);
  /// Removes a request that was sent and charges its tenant. Returns false if it is not in the
  /// queue.
  bool serve(Handle handle);
  /// Returns the first request of each class, in the order in which they are to be sent.
  std::vector<Handle> first_of_each_class(MonotonicTime now);
  /// Returns the number of requests that would be sent before a new one.
  std::size_t ahead_of(const gateway::QueueRequest& request, MonotonicTime now) const;
  /// Returns the requests whose deadline is at or before `until`, earliest first.
  std::vector<Handle> due_by(MonotonicTime until) const;
  /// Returns the earliest deadline after `time`.
  std::optional<MonotonicTime> next_due_after(MonotonicTime time) const;
  /// Returns the last request of the largest group of one class and tenant, if that group is larger
  /// by at least two than the group of `request`; otherwise, or if that group has no
  /// request that may be rejected, returns none: the new request is the one to reject. Streams that
  /// have begun are not counted.
  std::optional<Handle> find_displaceable(const gateway::QueueRequest& request) const;
  /// Returns the requests that the queue may reject, oldest first.
  std::vector<Handle> rejectable() const;

  bool contains(Handle handle) const { return items_.contains(handle); }
  std::size_t size() const { return items_.size(); }
  std::size_t bytes() const { return bytes_; }
  /// The request must be in the queue.
  std::size_t bytes_of(Handle handle) const { return items_.at(handle).request.bytes; }
  /// The request must be in the queue.
  bool may_be_rejected(Handle handle) const { return items_.at(handle).request.may_be_rejected(); }
  /// The request must be in the queue.
  MonotonicTime joined(Handle handle) const { return items_.at(handle).joined; }
  /// Returns when the oldest request joined.
  std::optional<MonotonicTime> oldest() const;
  /// Returns the number of tenants with stored state.
  std::size_t tenants() const { return tenants_.size(); }

 private:
  /// The bands of a class, in the order of sending. kReturned holds requests that were sent before
  /// or are retried at their assigned time.
  enum class Band : std::uint8_t { kBegun, kReturned, kNew, kLate };
  static constexpr std::size_t kBands = 4;
  /// Bands in the order in which requests are displaced.
  static constexpr std::array kDisplacementOrder{Band::kLate, Band::kNew, Band::kReturned};
  /// Idle tenants are removed when there are more tenants than this plus twice the active ones.
  static constexpr std::size_t kIdleTenantSlack = 64;

  using ClassKey = std::pair<std::uint32_t, gateway::RouteName>;
  /// The target of a request that is on time, else its deadline; and its handle.
  using SortKey = std::pair<MonotonicTime, Handle>;
  /// Requests of one class and band, by tenant.
  using TenantRequests = std::map<TenantName, std::set<SortKey>>;
  struct RequestClass {
    std::array<TenantRequests, kBands> bands;
    std::size_t size = 0;
    std::uint64_t last_served = 0;  ///< `served_` when it was last served or became non-empty.
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
  /// The sort key of the first requests of classes; the lowest is sent first.
  struct Rank {
    int stage = 0;  ///< 0: begun, 1: on time, 2: late.
    std::uint32_t priority = 0;
    bool is_new = false;
    double pass = 0;
    SortKey order;

    auto operator<=>(const Rank&) const = default;
  };

  static ClassKey class_of(const gateway::QueueRequest& request);
  static Band band_of(const gateway::QueueRequest& request, MonotonicTime now);
  static int stage_of(Band band);
  static SortKey order_of(Handle handle, const Item& item);
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
  std::set<SortKey> by_target_;  ///< Requests that can still meet their target.
  std::set<SortKey> by_deadline_;
  std::size_t bytes_ = 0;
  std::size_t active_tenants_ = 0;
  std::uint64_t served_ = 0;
  double pass_ = 0;  ///< Pass of the tenant served last; reset only when the queue becomes empty.
};

}  // namespace ochrespring::admission_queue
