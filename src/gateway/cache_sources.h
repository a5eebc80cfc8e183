// Which engines keep the shared start of a prompt, so that another one can take it from them.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// The engines of one service that are believed to keep the most of one prompt's shared parts.
/// Pure; made for one decision.
///
///   const CacheSources sources(fleet, loads, ServiceName("llm"), prompt, now);
///   if (const Backend* source = sources.best_for(engine)) { /* `engine` may fetch from it */ }
class CacheSources {
 public:
  /// Of all engines of the service.
  CacheSources(const FleetState& fleet, const LoadTable& loads, const ServiceName& service,
               const Prompt& prompt, MonotonicTime now);
  /// Of these engines.
  CacheSources(const std::vector<const Backend*>& engines, const LoadTable& loads,
               const Prompt& prompt, MonotonicTime now);

  /// Shared tokens that `best_for(engine)` keeps; 0 without one.
  std::uint64_t tokens_for(const Backend& engine) const;
  /// The engine to fetch from: in the zone of `engine` if there is one, else the one that used the
  /// parts last. Null: no other engine keeps any.
  const Backend* best_for(const Backend& engine) const;

 private:
  void consider(const Backend& engine, const LoadTable& loads, const Prompt& prompt,
                MonotonicTime now);

  struct Source {
    const Backend* engine = nullptr;
    MonotonicTime used_at{};
  };

  std::uint64_t tokens_ = 0;
  std::vector<Source> sources_;  ///< All that keep `tokens_`.
};

}  // namespace ochrespring::gateway
