// Block memory of an engine's KV cache: blocks private to a sequence, and blocks of prompt prefixes
// that are kept after use and evicted least recently used first.
#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "engine/types.h"

namespace ochrespring::engine_model {

/// KV memory in blocks of engine::kTokensPerBlock tokens. A block's hash covers all blocks before
/// it in its prompt, so a prefix is found by walking the hashes from the first.
class PrefixCache {
 public:
  explicit PrefixCache(std::uint64_t capacity_blocks) : capacity_(capacity_blocks) {}

  /// Pins the longest cached prefix of `blocks`; returns its length in blocks.
  std::uint32_t pin_prefix(std::span<const std::uint64_t> blocks);
  /// Length in blocks of the longest cached prefix; changes nothing.
  std::uint32_t cached_prefix(std::span<const std::uint64_t> blocks) const;
  /// Releases pins taken by pin_prefix or publish.
  void unpin(std::span<const std::uint64_t> blocks);
  /// Takes private blocks, evicting unpinned prefixes as needed; false and no change when it
  /// cannot.
  bool reserve(std::uint64_t blocks);
  /// Returns private blocks.
  void release(std::uint64_t blocks);
  /// Turns private blocks of a sequence into shared pinned ones under these hashes.
  void publish(std::span<const std::uint64_t> blocks);
  /// Forgets everything, as after a crash or a change of model.
  void clear();

  /// Blocks in private use or pinned.
  std::uint64_t blocks_in_use() const { return private_ + shared_.size() - idle_.size(); }
  /// Blocks of capacity.
  std::uint64_t capacity() const { return capacity_; }
  /// Blocks of prefixes that are kept.
  std::uint64_t shared_blocks() const { return shared_.size(); }

  /// Events with sequence above `after`, oldest first; bounded, so old ones may be missing.
  std::vector<engine::CacheEvent> events_after(std::uint64_t after) const;

 private:
  struct SharedBlock {
    std::uint32_t pins = 0;
    std::list<std::uint64_t>::iterator idle_position;  ///< Valid while `pins` is zero.
  };

  void pin(SharedBlock& block);
  void emit(engine::CacheChange change, std::vector<std::uint64_t> blocks);

  std::uint64_t capacity_;
  std::uint64_t private_ = 0;
  std::unordered_map<std::uint64_t, SharedBlock> shared_;
  std::list<std::uint64_t> idle_;  ///< Unpinned blocks, least recently used first.
  std::list<engine::CacheEvent> events_;
  std::uint64_t next_event_ = 1;
};

}  // namespace ochrespring::engine_model
