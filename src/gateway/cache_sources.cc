#include "gateway/cache_sources.h"

#include <algorithm>
#include <optional>

namespace ochrespring::gateway {

namespace {

struct FetchablePrefix {
  std::uint64_t tokens = 0;
  MonotonicTime used_at{};
};

/// Prefix of the prompt that other engines can fetch from this one. A cached part is usable only if
/// all parts before it are cached.
FetchablePrefix fetchable_prefix(const BackendLoad& load, const Prompt& prompt, MonotonicTime now) {
  FetchablePrefix prefix;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const std::optional<MonotonicTime> used_at = load.ready_part(prompt.parts[i].key, now);
    if (!used_at) {
      break;
    }
    prefix.tokens += prompt.parts[i].tokens;
    prefix.used_at = *used_at;
  }
  return prefix;
}

}  // namespace

CacheSources::CacheSources(const FleetState& fleet, const LoadTable& loads,
                           const ServiceName& service, const Prompt& prompt, MonotonicTime now) {
  for (const auto& [id, backend] : fleet.backends()) {
    if (backend.service == service && backend.role != EngineRole::kNone) {
      consider(backend, loads, prompt, now);
    }
  }
}

CacheSources::CacheSources(const std::vector<const Backend*>& engines, const LoadTable& loads,
                           const Prompt& prompt, MonotonicTime now) {
  for (const Backend* engine : engines) {
    consider(*engine, loads, prompt, now);
  }
}

void CacheSources::consider(const Backend& engine, const LoadTable& loads, const Prompt& prompt,
                            MonotonicTime now) {
  const BackendLoad* load = loads.find(engine.id);
  if (load == nullptr || load->ejected(now)) {
    return;
  }
  const FetchablePrefix prefix = fetchable_prefix(*load, prompt, now);
  if (prefix.tokens == 0 || prefix.tokens < tokens_) {
    return;
  }
  if (prefix.tokens > tokens_) {
    sources_.clear();
    tokens_ = prefix.tokens;
  }
  sources_.push_back({&engine, prefix.used_at});
}

std::uint64_t CacheSources::tokens_for(const Backend& engine) const {
  return best_for(engine) == nullptr ? 0 : tokens_;
}

const Backend* CacheSources::best_for(const Backend& engine) const {
  const Source* best = nullptr;
  const auto rank = [&](const Source& source) {
    return std::pair(source.engine->zone == engine.zone, source.used_at);
  };
  for (const Source& source : sources_) {
    if (source.engine->id != engine.id && (best == nullptr || rank(source) > rank(*best))) {
      best = &source;
    }
  }
  return best == nullptr ? nullptr : best->engine;
}

}  // namespace ochrespring::gateway
