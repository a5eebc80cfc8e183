// The back ends of each service, found without walking all that there are.
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

/// The one of highest rendezvous weight for `key` among those that are accepted, or null.
const Backend* rendezvous_choice(const std::vector<const Backend*>& backends, std::string_view key,
                                 const std::function<bool(const Backend&)>& accept);

/// The back ends of one service that do the same: read prompts for others, or run requests.
class BackendGroup {
 public:
  /// Whether a back end may be chosen.
  using Accept = std::function<bool(const Backend&)>;

  void add(const Backend& backend);
  void remove(const Backend& backend);
  std::size_t size() const { return size_; }

  /// The back end that all nodes rank first for `key` among those they accept, or null. Rendezvous
  /// hashing in two steps: which part of the group, then which back end of it. A back end that
  /// comes or goes moves the keys of its part only, and of 10,000 back ends some 220 are looked at.
  const Backend* home(std::string_view key, const Accept& accept) const;
  /// Up to `most` different back ends that are accepted, drawn at random.
  std::vector<const Backend*> sample(std::size_t most, RandomSource& random,
                                     const Accept& accept) const;
  /// All that are accepted.
  std::vector<const Backend*> all(const Accept& accept) const;

 private:
  /// About the root of the largest groups expected (some 10,000): that makes both steps equally
  /// short.
  static constexpr std::size_t kParts = 64;
  using Part = std::vector<const Backend*>;

  static std::size_t part_of(const BackendId& id);

  std::array<Part, kParts> parts_;
  std::size_t size_ = 0;
};

/// Groups by service. Back ends stay where they are as long as they are in the index. One loop.
class BackendIndex {
 public:
  void add(const Backend& backend);
  /// With the service and role that it was added with.
  void remove(const Backend& backend);
  void clear() { groups_.clear(); }
  /// Null: there is none.
  const BackendGroup* find(const ServiceName& service, bool readers) const;

 private:
  static std::pair<ServiceName, bool> group_of(const Backend& backend);

  std::map<std::pair<ServiceName, bool>, BackendGroup> groups_;
};

}  // namespace ochrespring::gateway
