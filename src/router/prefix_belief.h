// Belief about which engines hold which prompt prefixes. Cache events are late and some are lost,
// so an entry is a guess to be weighed, not a fact.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace ochrespring::router {

/// An engine believed to hold the first `blocks` blocks of a prompt.
struct PrefixHolder {
  std::uint32_t slot = 0;
  std::uint32_t epoch = 0;   ///< The engine's epoch when the entry was made.
  std::uint32_t blocks = 0;  ///< Length of the prefix.
};

/// Bounded map from block hashes to a few engines, least recently used out first. Only one block
/// in kSampling is kept: a block's hash covers all blocks before it, so finding it means that the
/// whole prefix is there.
class PrefixBelief {
 public:
  static constexpr std::uint64_t kSampling = 4;
  static constexpr std::size_t kHoldersPerBlock = 4;

  explicit PrefixBelief(std::size_t maximum_entries) : maximum_entries_(maximum_entries) {}

  /// The engine stored these blocks, or is about to.
  void add(std::uint32_t slot, std::uint32_t epoch, std::span<const std::uint64_t> blocks);
  /// The engine evicted these blocks.
  void remove(std::uint32_t slot, std::span<const std::uint64_t> blocks);
  /// Engines believed to hold a prefix, each with its longest one, longest first; at most
  /// 2 * kHoldersPerBlock of them.
  std::vector<PrefixHolder> find(std::span<const std::uint64_t> blocks) const;
  /// Number of blocks tracked.
  std::size_t size() const { return entries_.size(); }

 private:
  struct Holder {
    std::uint32_t slot = 0;
    std::uint32_t epoch = 0;
  };
  struct Entry {
    std::array<Holder, kHoldersPerBlock> holders;
    std::uint8_t count = 0;
    std::uint8_t oldest = 0;  ///< Replaced next when all are taken.
    std::list<std::uint64_t>::iterator position;
  };

  static bool sampled(std::uint64_t hash) { return (hash >> 7U) % kSampling == 0; }

  std::size_t maximum_entries_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::list<std::uint64_t> recent_;  ///< Least recently added first.
};

}  // namespace ochrespring::router
