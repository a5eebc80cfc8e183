// Engine profiles that are set by a test.
#pragma once

#include <map>
#include <optional>

#include "gateway/engine_profiles.h"

namespace ochrespring::gateway::testing {

/// Engines without an entry in `own_profiles` have `median`.
class FakeProfiles final : public EngineProfiles {
 public:
  std::optional<EngineProfile> find(const Backend& engine, MonotonicTime now) const override {
    const auto own = own_profiles.find(engine.id);
    return own == own_profiles.end() ? usual(engine.service, now) : own->second;
  }
  std::optional<EngineProfile> usual(const ServiceName& /*service*/,
                                     MonotonicTime /*now*/) const override {
    return median;
  }
  /// Work takes `disturbed_factor` times its normal duration for `disturbed_share` of the time.
  double share_slower_than(const ServiceName& /*service*/, double factor,
                           MonotonicTime /*now*/) const override {
    return factor < 1 ? 1 : (factor < disturbed_factor ? disturbed_share : 0);
  }

  std::optional<EngineProfile> median;
  std::map<BackendId, EngineProfile> own_profiles;
  double disturbed_share = 0;
  double disturbed_factor = 1;
};

}  // namespace ochrespring::gateway::testing
