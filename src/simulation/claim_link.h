// The proxy's way to the attempt ledger of its node: messages between the two loops.
#pragma once

#include <functional>
#include <utility>

#include "ledger/attempt_ledger.h"
#include "proxy/claim_service.h"
#include "simulation/process_runtime.h"

namespace ochrespring::simulation {

class ClaimLink final : public proxy::ClaimService {
 public:
  ClaimLink(ledger::AttemptLedger& ledger, ProcessRuntime& runtime)
      : ledger_(ledger), runtime_(runtime) {}

  void claim(const ledger::ClaimKey& key, std::uint64_t body_hash,
             std::function<void(ledger::ClaimResult)> done) override {
    runtime_.post([this, key, body_hash, done = std::move(done)] {
      ledger_.claim(key, body_hash, [this, done](const ledger::ClaimResult& result) {
        runtime_.post([done, result] { done(result); });
      });
    });
  }
  void record(const ledger::ClaimKey& key, ledger::RecordedOutcome outcome) override {
    runtime_.post(
        [this, key, outcome = std::move(outcome)] { ledger_.record(key, outcome, [](bool) {}); });
  }
  void release(const ledger::ClaimKey& key) override {
    runtime_.post([this, key] { ledger_.release(key); });
  }

 private:
  ledger::AttemptLedger& ledger_;
  ProcessRuntime& runtime_;
};

}  // namespace ochrespring::simulation
