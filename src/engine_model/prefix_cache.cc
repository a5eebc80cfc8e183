#include "engine_model/prefix_cache.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ochrespring::engine_model {
namespace {

/// Events kept for readers that fall behind.
constexpr std::size_t kKeptEvents = 4096;

}  // namespace

void PrefixCache::pin(SharedBlock& block) {
  if (block.pins == 0) {
    idle_.erase(block.idle_position);
  }
  ++block.pins;
}

std::uint32_t PrefixCache::pin_prefix(std::span<const std::uint64_t> blocks) {
  const std::uint32_t length = cached_prefix(blocks);
  for (const std::uint64_t hash : blocks.first(length)) {
    pin(shared_.at(hash));
  }
  return length;
}

std::uint32_t PrefixCache::cached_prefix(std::span<const std::uint64_t> blocks) const {
  std::uint32_t length = 0;
  while (length < blocks.size() && shared_.contains(blocks[length])) {
    ++length;
  }
  return length;
}

void PrefixCache::unpin(std::span<const std::uint64_t> blocks) {
  // Deepest first: a prefix is worth more than its continuation, so the continuation goes first.
  for (auto hash = blocks.rbegin(); hash != blocks.rend(); ++hash) {
    const auto found = shared_.find(*hash);
    if (found == shared_.end()) {
      continue;
    }
    SharedBlock& block = found->second;
    --block.pins;
    if (block.pins == 0) {
      block.idle_position = idle_.insert(idle_.end(), *hash);
    }
  }
}

bool PrefixCache::reserve(std::uint64_t blocks) {
  if (blocks_in_use() + blocks > capacity_) {
    return false;
  }
  std::vector<std::uint64_t> evicted;
  while (private_ + shared_.size() + blocks > capacity_) {
    const std::uint64_t victim = idle_.front();
    idle_.pop_front();
    shared_.erase(victim);
    evicted.push_back(victim);
  }
  private_ += blocks;
  if (!evicted.empty()) {
    emit(engine::CacheChange::kEvicted, std::move(evicted));
  }
  return true;
}

void PrefixCache::release(std::uint64_t blocks) {
  private_ -= std::min(private_, blocks);
}

void PrefixCache::publish(std::span<const std::uint64_t> blocks) {
  std::vector<std::uint64_t> stored;
  for (const std::uint64_t hash : blocks) {
    const auto [entry, added] = shared_.try_emplace(hash);
    if (added) {
      entry->second.pins = 1;
      stored.push_back(hash);
    } else {
      pin(entry->second);
    }
  }
  release(blocks.size());
  if (!stored.empty()) {
    emit(engine::CacheChange::kStored, std::move(stored));
  }
}

void PrefixCache::clear() {
  shared_.clear();
  idle_.clear();
  private_ = 0;
  emit(engine::CacheChange::kCleared, {});
}

void PrefixCache::emit(engine::CacheChange change, std::vector<std::uint64_t> blocks) {
  events_.push_back({next_event_, change, std::move(blocks)});
  ++next_event_;
  if (events_.size() > kKeptEvents) {
    events_.pop_front();
  }
}

std::vector<engine::CacheEvent> PrefixCache::events_after(std::uint64_t after) const {
  auto first = events_.end();
  while (first != events_.begin() && std::prev(first)->sequence > after) {
    --first;
  }
  return {first, events_.end()};
}

}  // namespace ochrespring::engine_model
