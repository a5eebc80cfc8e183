#include "proxy/request_claim.h"

#include <string>
#include <utility>

#include "base/hash.h"
#include "proxy/headers.h"

namespace ochrespring::proxy {

namespace {

/// Answers larger than this are recorded without their body.
constexpr std::size_t kLargestRecordedBody = 64U << 10U;

std::uint64_t hash_of(const ParsedRequest& request) {
  const std::uint64_t target =
      combine_hashes(stable_hash(request.method), stable_hash(request.path));
  return combine_hashes(target, stable_hash(request.body));
}

}  // namespace

void RequestClaim::request(const ParsedRequest& request,
                           std::function<void(ledger::ClaimResult)> done) {
  key_ = {request.route.tenant, request.route.service, request.idempotency_key};
  const std::weak_ptr<bool> alive = alive_;
  service_.claim(key_, hash_of(request),
                 [this, alive, &service = service_, key = key_,
                  report = std::move(done)](const ledger::ClaimResult& result) {
                   if (alive.expired()) {
                     if (result.verdict == ledger::ClaimVerdict::kGranted) {
                       service.release(key);
                     }
                     return;
                   }
                   held_ = result.verdict == ledger::ClaimVerdict::kGranted;
                   if (held_) {
                     valid_until_ = result.valid_until;
                   }
                   report(result);
                 });
}

void RequestClaim::release() {
  if (std::exchange(held_, false)) {
    service_.release(key_);
  }
}

void RequestClaim::record_answer(const AnswerRelay& relay) {
  if (!std::exchange(held_, false)) {
    return;
  }
  ledger::RecordedOutcome outcome;
  outcome.state = ledger::RecordedState::kAnswered;
  outcome.status = relay.head().status;
  outcome.content_type = http::find_header(relay.head().headers, header::kContentType);
  outcome.body_kept = relay.holds_whole_body() && relay.held_body().size() <= kLargestRecordedBody;
  if (outcome.body_kept) {
    outcome.body = relay.held_body();
  }
  service_.record(key_, std::move(outcome));
}

void RequestClaim::record_unknown() {
  if (!std::exchange(held_, false)) {
    return;
  }
  ledger::RecordedOutcome outcome;
  outcome.state = ledger::RecordedState::kUnknown;
  service_.record(key_, std::move(outcome));
}

}  // namespace ochrespring::proxy
