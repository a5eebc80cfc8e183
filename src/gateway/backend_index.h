// Index of the back ends of each service, for lookups that do not scan the whole fleet.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Returns the back end with the highest rendezvous weight for `key` among those that `accept`
/// allows, or null.
const Backend* rendezvous_choice(const std::vector<const Backend*>& backends, std::string_view key,
                                 const std::function<bool(const Backend&)>& accept);

/// The back ends of one service that have the same purpose: prefill engines, or back ends that run
/// requests.
class BackendGroup {
 public:
  /// Returns whether a back end may be chosen.
  using Accept = std::function<bool(const Backend&)>;

  void add(const Backend& backend);
  void remove(const Backend& backend);
  std::size_t size() const { return size_; }

  /// The back end that all nodes rank first for `key` among those that `accept` allows, or null.
  /// Rendezvous hashing in two steps: first the bucket, then the back end in it. Removing a back
  /// end moves only the keys whose home it is, and adding one moves only keys to it. With 10,000
  /// back ends some 220 weights are computed.
  const Backend* home(std::string_view key, const Accept& accept) const;
  /// Up to `max_count` distinct accepted back ends, chosen at random. May return fewer than there
  /// are.
  std::vector<const Backend*> sample(std::size_t max_count, RandomSource& random,
                                     const Accept& accept) const;
  /// All accepted back ends.
  std::vector<const Backend*> all(const Accept& accept) const;

 private:
  /// With the largest expected group, some 10,000 back ends, home() chooses among 64 buckets and
  /// then among some 156 back ends, so that both steps are short.
  static constexpr std::size_t kBuckets = 64;
  using Bucket = std::vector<const Backend*>;

  static std::size_t bucket_of(const BackendId& id);

  std::array<Bucket, kBuckets> buckets_;
  std::size_t size_ = 0;
};

/// Back end groups by service. Stores pointers: a back end must stay at its address while it is in
/// the index. Used from one event loop.
class BackendIndex {
 public:
  void add(const Backend& backend);
  /// `backend` must have the service and role with which it was added.
  void remove(const Backend& backend);
  void clear() { groups_.clear(); }
  /// Returns null if there is no such group.
  const BackendGroup* find(const ServiceName& service, bool prefill) const;

 private:
  static std::pair<ServiceName, bool> group_of(const Backend& backend);

  std::map<std::pair<ServiceName, bool>, BackendGroup> groups_;
};

}  // namespace ochrespring::gateway
