// Finds the engines that have the shared prefix of a prompt cached, from which another engine can
// fetch it.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// The engines of one service that are assumed to have the longest cached prefix of one prompt's
/// shared parts. Created for a single placement decision; has no side effects.
///
///   const CacheSources sources(fleet, loads, ServiceName("llm"), prompt, now);
///   if (const Backend* source = sources.best_for(engine)) { /* `engine` may fetch from it */ }
class CacheSources {
 public:
  /// Considers all engines of the service.
  CacheSources(const FleetState& fleet, const LoadTable& loads, const ServiceName& service,
               const Prompt& prompt, MonotonicTime now);
  /// Considers only `engines`.
  CacheSources(const std::vector<const Backend*>& engines, const LoadTable& loads,
               const Prompt& prompt, MonotonicTime now);

  /// Number of tokens of the prefix that best_for(engine) has cached; 0 if it returns null.
  std::uint64_t tokens_for(const Backend& engine) const;
  /// Returns the engine to fetch from among those with the longest cached prefix: one in the zone
  /// of `engine` is preferred, then the one that used the prefix last. Null: no engine but `engine`
  /// has that prefix; others may have a shorter one.
  const Backend* best_for(const Backend& engine) const;

 private:
  void consider(const Backend& engine, const LoadTable& loads, const Prompt& prompt,
                MonotonicTime now);

  struct Source {
    const Backend* engine = nullptr;
    MonotonicTime used_at{};
  };

  std::uint64_t tokens_ = 0;
  std::vector<Source> sources_;  ///< All engines that have `tokens_` cached.
};

}  // namespace ochrespring::gateway
