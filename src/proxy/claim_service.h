// Claims of requests that may not be repeated, as a proxy loop reaches them: the ledger lives on
// the control loop, so every answer comes later.
#pragma once

#include <cstdint>
#include <functional>

#include "ledger/attempt_ledger.h"

namespace ochrespring::proxy {

/// Used on the proxy's loop; callbacks run there once, never inside the call.
class ClaimService {
 public:
  virtual ~ClaimService() = default;
  /// Must be granted before any byte is sent to a back end.
  virtual void claim(const ledger::ClaimKey& key, std::uint64_t body_hash,
                     std::function<void(ledger::ClaimResult)> done) = 0;
  /// Records the outcome of a granted claim; the caller's answer does not wait for it.
  virtual void record(const ledger::ClaimKey& key, ledger::RecordedOutcome outcome) = 0;
  /// Gives up a granted claim: the request certainly did not run.
  virtual void release(const ledger::ClaimKey& key) = 0;
};

}  // namespace ochrespring::proxy
