#include "gateway/candidates.h"

#include <algorithm>
#include <string_view>

#include "gateway/backend_index.h"

namespace ochrespring::gateway {

namespace {

std::string_view shared_prefix_id(const CandidateFinder::Query& query) {
  return query.prompt == nullptr ? std::string_view() : query.prompt->shared_prefix_id();
}

void add_once(std::vector<const Backend*>& backends, const Backend* backend) {
  if (std::find(backends.begin(), backends.end(), backend) == backends.end()) {
    backends.push_back(backend);
  }
}

}  // namespace

Candidates CandidateFinder::find(const Query& query, bool prefill, MonotonicTime now) const {
  return considers_all() ? full_scan(query, prefill, now) : sample(query, prefill, now);
}

bool CandidateFinder::is_last_resort(const Backend& backend, MonotonicTime now) const {
  const BackendLoad* load = loads_.find(backend.id);
  const bool unhealthy = load != nullptr && (load->ejected(now) || load->mostly_refuses(now));
  return unhealthy || fleet_.is_distrusted(backend.id, now);
}

bool CandidateFinder::is_eligible(const Backend& backend, const Query& query,
                                  MonotonicTime now) const {
  const BackendLoad* load = loads_.find(backend.id);
  const bool replaced = load != nullptr && load->replaced(now);
  const bool runs_other_software = query.software && backend.role != EngineRole::kPrefill &&
                                   software_of(backend) != *query.software;
  return !replaced && !runs_other_software && !fleet_.is_leaving(backend) &&
         !query.avoid->contains(backend.id) &&
         (query.gate == nullptr || query.gate->has_room(backend.id, now));
}

Candidates CandidateFinder::full_scan(const Query& query, bool prefill, MonotonicTime now) const {
  Candidates healthy;
  Candidates others;
  for (const auto& [id, backend] : fleet_.backends()) {
    const bool is_prefill = backend.role == EngineRole::kPrefill;
    if (backend.service != query.service || is_prefill != prefill ||
        !is_eligible(backend, query, now)) {
      continue;
    }
    (is_last_resort(backend, now) ? others : healthy).backends.push_back(&backend);
  }
  Candidates chosen = healthy.backends.empty() ? std::move(others) : std::move(healthy);
  if (!shared_prefix_id(query).empty()) {
    chosen.home = rendezvous_choice(chosen.backends, shared_prefix_id(query),
                                    [](const Backend& /*any*/) { return true; });
  }
  return chosen;
}

Candidates CandidateFinder::sample(const Query& query, bool prefill, MonotonicTime now) const {
  Candidates chosen;
  const BackendGroup* group = fleet_.index().find(query.service, prefill);
  if (group == nullptr) {
    return chosen;
  }
  const auto allowed = [&](const Backend& backend) { return is_eligible(backend, query, now); };
  const auto healthy = [&](const Backend& backend) {
    return allowed(backend) && !is_last_resort(backend, now);
  };
  if (query.prompt == nullptr && group->size() <= kFullScanLimit) {
    chosen.backends = group->all(healthy);
  } else {
    chosen.backends = group->sample(kSampleSize, random_, healthy);
  }
  for (const Backend* holder : query.holders) {
    const bool is_prefill = holder->role == EngineRole::kPrefill;
    if (is_prefill == prefill && holder->service == query.service && healthy(*holder)) {
      add_once(chosen.backends, holder);
    }
  }
  if (!shared_prefix_id(query).empty()) {
    chosen.home = group->home(shared_prefix_id(query), healthy);
  }
  if (chosen.home != nullptr) {
    add_once(chosen.backends, chosen.home);
  }
  if (chosen.backends.empty()) {
    // The sample may have missed the few healthy back ends.
    chosen.backends = group->all(healthy);
  }
  if (chosen.backends.empty()) {
    chosen.backends = group->all(allowed);
  }
  return chosen;
}

/// Starts at the last shared part: an engine that has it cached usually has those before it too,
/// while the first parts may be common to thousands of engines.
std::vector<const Backend*> CandidateFinder::holders(const Prompt& prompt,
                                                     MonotonicTime now) const {
  std::vector<const Backend*> engines;
  const std::vector<PromptPart>& parts = prompt.parts;
  for (std::size_t shared = parts.size(); shared > 1 && engines.empty(); --shared) {
    const std::uint64_t key = parts[shared - 2].key;
    for (const BackendId& id : loads_.holders(key, kMaxHolders, now, random_)) {
      const Backend* engine = fleet_.find(id);
      if (engine != nullptr && engine->role != EngineRole::kNone) {
        engines.push_back(engine);
      }
    }
  }
  return engines;
}

}  // namespace ochrespring::gateway
