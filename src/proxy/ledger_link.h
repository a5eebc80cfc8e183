// A proxy loop's way to the attempt ledger, which lives on the control loop.
#pragma once

#include <memory>

#include "http/event_loop.h"
#include "ledger/attempt_ledger.h"
#include "proxy/claim_service.h"

namespace ochrespring::proxy {

/// Carries calls to the control loop and answers back, as posted messages. Belongs to a proxy
/// loop; the loops and the ledger must outlive every message, so both loops stop before any of them
/// is destroyed.
class LedgerLink final : public ClaimService {
 public:
  LedgerLink(http::EventLoop& proxy_loop, http::EventLoop& control_loop,
             ledger::AttemptLedger& ledger)
      : proxy_loop_(proxy_loop), control_loop_(control_loop), ledger_(ledger) {}

  void claim(const ledger::ClaimKey& key, std::uint64_t body_hash,
             std::function<void(ledger::ClaimResult)> done) override;
  void record(const ledger::ClaimKey& key, ledger::RecordedOutcome outcome) override;
  void release(const ledger::ClaimKey& key) override;

 private:
  http::EventLoop& proxy_loop_;
  http::EventLoop& control_loop_;
  ledger::AttemptLedger& ledger_;
};

}  // namespace ochrespring::proxy
