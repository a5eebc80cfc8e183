// Long streams at one engine: this node's own, and those that other nodes tell of.
#pragma once

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// Number that this node has given to another one.
using NodeIndex = std::uint32_t;

/// Pure.
class LongStreams {
 public:
  /// What a node has told is believed for so long: two repetitions may be lost.
  static constexpr Duration kBelief = std::chrono::seconds(5);

  void begin() { ++own_; }
  void end() { own_ -= std::min(own_, 1U); }
  std::uint32_t own() const { return own_; }

  void take(NodeIndex node, std::uint32_t count, MonotonicTime now) {
    std::erase_if(told_,
                  [&](const Told& told) { return told.node == node || now - told.at >= kBelief; });
    if (count != 0) {
      told_.push_back({node, count, now});
    }
  }
  std::uint32_t all(MonotonicTime now) const {
    return std::accumulate(told_.begin(), told_.end(), own_,
                           [&](std::uint32_t sum, const Told& told) {
                             return now - told.at < kBelief ? sum + told.count : sum;
                           });
  }

 private:
  struct Told {
    NodeIndex node;
    std::uint32_t count;
    MonotonicTime at;
  };

  std::uint32_t own_ = 0;
  std::vector<Told> told_;
};

}  // namespace ochrespring::engine_profiles
