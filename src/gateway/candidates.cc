#include "gateway/candidates.h"

#include <algorithm>
#include <string_view>

#include "gateway/backend_index.h"

namespace ochrespring::gateway {

namespace {

std::string_view shared_key(const CandidateFinder::Query& query) {
  return query.prompt == nullptr ? std::string_view() : query.prompt->shared_key();
}

void add_once(std::vector<const Backend*>& backends, const Backend* backend) {
  if (std::find(backends.begin(), backends.end(), backend) == backends.end()) {
    backends.push_back(backend);
  }
}

}  // namespace

Candidates CandidateFinder::find(const Query& query, bool readers, MonotonicTime now) const {
  return walks_all() ? walk(query, readers, now) : sample(query, readers, now);
}

bool CandidateFinder::left_alone(const Backend& backend, MonotonicTime now) const {
  const BackendLoad* load = loads_.find(backend.id);
  const bool avoided = load != nullptr && (load->ejected(now) || load->mostly_refuses(now));
  return avoided || fleet_.is_distrusted(backend.id, now);
}

bool CandidateFinder::may_take(const Backend& backend, const Query& query,
                               MonotonicTime now) const {
  const BackendLoad* load = loads_.find(backend.id);
  const bool replaced = load != nullptr && load->replaced(now);
  return !replaced && !fleet_.is_leaving(backend) && !query.avoid->contains(backend.id) &&
         (query.gate == nullptr || query.gate->has_room(backend.id, now));
}

Candidates CandidateFinder::walk(const Query& query, bool readers, MonotonicTime now) const {
  Candidates healthy;
  Candidates others;
  for (const auto& [id, backend] : fleet_.backends()) {
    const bool reader = backend.role == EngineRole::kPrefill;
    if (backend.service != query.service || reader != readers || !may_take(backend, query, now)) {
      continue;
    }
    (left_alone(backend, now) ? others : healthy).backends.push_back(&backend);
  }
  Candidates chosen = healthy.backends.empty() ? std::move(others) : std::move(healthy);
  if (!shared_key(query).empty()) {
    chosen.home = rendezvous_choice(chosen.backends, shared_key(query),
                                    [](const Backend& /*any*/) { return true; });
  }
  return chosen;
}

Candidates CandidateFinder::sample(const Query& query, bool readers, MonotonicTime now) const {
  Candidates chosen;
  const BackendGroup* group = fleet_.index().find(query.service, readers);
  if (group == nullptr) {
    return chosen;
  }
  const auto allowed = [&](const Backend& backend) { return may_take(backend, query, now); };
  const auto healthy = [&](const Backend& backend) {
    return allowed(backend) && !left_alone(backend, now);
  };
  if (query.prompt == nullptr && group->size() <= kWalkAll) {
    chosen.backends = group->all(healthy);
  } else {
    chosen.backends = group->sample(kSample, random_, healthy);
  }
  for (const Backend* holder : query.holders) {
    const bool reader = holder->role == EngineRole::kPrefill;
    if (reader == readers && holder->service == query.service && healthy(*holder)) {
      add_once(chosen.backends, holder);
    }
  }
  if (!shared_key(query).empty()) {
    chosen.home = group->home(shared_key(query), healthy);
  }
  if (chosen.home != nullptr) {
    add_once(chosen.backends, chosen.home);
  }
  if (chosen.backends.empty()) {
    // Few are well, if any: a sample may have missed them.
    chosen.backends = group->all(healthy);
  }
  if (chosen.backends.empty()) {
    chosen.backends = group->all(allowed);
  }
  return chosen;
}

/// An engine that keeps a part mostly keeps those before it, which may be common to thousands.
std::vector<const Backend*> CandidateFinder::holders(const Prompt& prompt,
                                                     MonotonicTime now) const {
  std::vector<const Backend*> engines;
  const std::vector<PromptPart>& parts = prompt.parts;
  for (std::size_t shared = parts.size(); shared > 1 && engines.empty(); --shared) {
    const std::uint64_t key = parts[shared - 2].key;
    for (const BackendId& id : loads_.holders(key, kMostHolders, now, random_)) {
      const Backend* engine = fleet_.find(id);
      if (engine != nullptr && engine->role != EngineRole::kNone) {
        engines.push_back(engine);
      }
    }
  }
  return engines;
}

}  // namespace ochrespring::gateway
