// The claim of one request that may not be repeated, from asking for it to recording its outcome.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "proxy/answer_relay.h"
#include "proxy/claim_service.h"
#include "proxy/request.h"

namespace ochrespring::proxy {

/// Used on the proxy's loop. Destruction does not give the claim up.
class RequestClaim {
 public:
  explicit RequestClaim(ClaimService& service) : service_(service) {}
  RequestClaim(const RequestClaim&) = delete;
  RequestClaim& operator=(const RequestClaim&) = delete;

  /// Whether this request must be claimed before it is sent, and has not been.
  static bool needed(const ParsedRequest& request) {
    return !request.repeatable && !request.idempotency_key.empty();
  }
  bool held() const { return held_; }
  /// Nothing may be sent at or after this.
  MonotonicTime valid_until() const { return valid_until_; }

  /// Asks for the claim; `done` is not called after destruction. A claim granted too late is given
  /// up.
  void request(const ParsedRequest& request, std::function<void(ledger::ClaimResult)> done);
  /// The request certainly did not run.
  void release();
  void record_answer(const AnswerRelay& relay);
  void record_unknown();

 private:
  ClaimService& service_;
  ledger::ClaimKey key_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  MonotonicTime valid_until_ = MonotonicTime::max();
  bool held_ = false;
};

}  // namespace ochrespring::proxy
