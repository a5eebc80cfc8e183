#include "gateway/backend_index.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

/// Random draws per requested member of a sample. If `accept` refuses most of a group the sample
/// stays small, and callers fall back to all().
constexpr std::size_t kDrawsPerMember = 4;

}  // namespace

const Backend* rendezvous_choice(const std::vector<const Backend*>& backends, std::string_view key,
                                 const std::function<bool(const Backend&)>& accept) {
  const Backend* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const Backend* backend : backends) {
    const std::uint64_t weight = rendezvous_weight(key, backend->id.value());
    if ((best == nullptr || weight > best_weight) && accept(*backend)) {
      best = backend;
      best_weight = weight;
    }
  }
  return best;
}

std::size_t BackendGroup::bucket_of(const BackendId& id) {
  return stable_hash(id.value()) % kBuckets;
}

void BackendGroup::add(const Backend& backend) {
  buckets_[bucket_of(backend.id)].push_back(&backend);
  ++size_;
}

void BackendGroup::remove(const Backend& backend) {
  Bucket& bucket = buckets_[bucket_of(backend.id)];
  size_ -= std::erase_if(bucket, [&](const Backend* member) { return member->id == backend.id; });
}

const Backend* BackendGroup::home(std::string_view key, const Accept& accept) const {
  const std::uint64_t key_hash = stable_hash(key);
  std::array<std::pair<std::uint64_t, std::size_t>, kBuckets> order;
  for (std::size_t bucket = 0; bucket != kBuckets; ++bucket) {
    order[bucket] = {combine_hashes(key_hash, bucket + 1), bucket};
  }
  // Sorts lazily, since the first bucket usually has an accepted back end.
  auto unordered = order.begin();
  for (; unordered != order.end(); ++unordered) {
    std::iter_swap(unordered, std::max_element(unordered, order.end()));
    if (const Backend* found = rendezvous_choice(buckets_[unordered->second], key, accept)) {
      return found;
    }
  }
  return nullptr;
}

std::vector<const Backend*> BackendGroup::sample(std::size_t max_count, RandomSource& random,
                                                 const Accept& accept) const {
  std::vector<const Backend*> drawn;
  for (std::size_t draws = kDrawsPerMember * max_count; draws != 0 && drawn.size() != max_count;
       --draws) {
    const Bucket& bucket = buckets_[random.below(kBuckets)];
    if (bucket.empty()) {
      continue;
    }
    const Backend* member = bucket[random.below(bucket.size())];
    const bool known = std::find(drawn.begin(), drawn.end(), member) != drawn.end();
    if (!known && accept(*member)) {
      drawn.push_back(member);
    }
  }
  return drawn;
}

std::vector<const Backend*> BackendGroup::all(const Accept& accept) const {
  std::vector<const Backend*> accepted;
  for (const Bucket& bucket : buckets_) {
    std::copy_if(bucket.begin(), bucket.end(), std::back_inserter(accepted),
                 [&](const Backend* member) { return accept(*member); });
  }
  return accepted;
}

std::pair<ServiceName, bool> BackendIndex::group_of(const Backend& backend) {
  return {backend.service, backend.role == EngineRole::kPrefill};
}

void BackendIndex::add(const Backend& backend) {
  groups_[group_of(backend)].add(backend);
}

void BackendIndex::remove(const Backend& backend) {
  const auto found = groups_.find(group_of(backend));
  if (found == groups_.end()) {
    return;
  }
  found->second.remove(backend);
  if (found->second.size() == 0) {
    groups_.erase(found);
  }
}

const BackendGroup* BackendIndex::find(const ServiceName& service, bool prefill) const {
  const auto found = groups_.find({service, prefill});
  return found == groups_.end() ? nullptr : &found->second;
}

}  // namespace ochrespring::gateway
