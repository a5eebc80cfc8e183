// The platform's store of model weights; rate-limited.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "external/errc.h"

namespace ochrespring::external {

/// Leave to fetch one set of weights.
struct FetchGrant {
  std::string token;
  Duration transfer{};  ///< How long the transfer takes at the store's present pace.
};

/// Asynchronous client of the store; one per event loop.
class WeightStore {
 public:
  virtual ~WeightStore() = default;
  /// Asks to fetch `bytes` of the weights called `name`. kRateLimited: too many fetches are
  /// running; nothing was started, ask again later.
  virtual void fetch(const std::string& name, std::uint64_t bytes,
                     ExternalCallback<FetchGrant> done) = 0;
};

}  // namespace ochrespring::external
