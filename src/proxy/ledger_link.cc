#include "proxy/ledger_link.h"

#include <utility>

namespace ochrespring::proxy {

void LedgerLink::claim(const ledger::ClaimKey& key, std::uint64_t body_hash,
                       std::function<void(ledger::ClaimResult)> done) {
  control_loop_.post([this, key, body_hash, report = std::move(done)] {
    ledger_.claim(key, body_hash, [this, report](ledger::ClaimResult result) {
      proxy_loop_.post([report, answer = std::move(result)] { report(answer); });
    });
  });
}

void LedgerLink::record(const ledger::ClaimKey& key, ledger::RecordedOutcome outcome) {
  control_loop_.post([this, key, recorded = std::move(outcome)]() mutable {
    // The caller has its answer; a repeat after a failed recording is told "unknown".
    ledger_.record(key, std::move(recorded), [](bool /*majority*/) {});
  });
}

void LedgerLink::release(const ledger::ClaimKey& key) {
  control_loop_.post([this, key] { ledger_.release(key); });
}

}  // namespace ochrespring::proxy
