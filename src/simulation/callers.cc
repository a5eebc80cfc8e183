#include "simulation/callers.h"

#include <algorithm>
#include <utility>

#include "simulation/completion_protocol.h"
#include "simulation/fleet_layout.h"

namespace ochrespring::simulation {
namespace {

/// Keys that callers still repeat.
constexpr std::uint64_t kRepeatedKeys = 8;

}  // namespace

RequestId Callers::next_id() {
  return RequestId("request-" + std::to_string(next_request_++));
}

void Callers::submit_completion(std::uint32_t node, std::uint32_t tokens, bool streaming) {
  CallerRequest request;
  request.id = next_id();
  request.path = "/v1/completions";
  request.completion = true;
  const std::string prompt = "reminder for " + request.id.value();
  request.body = completion_body(kModel, prompt, tokens, streaming);
  request.expected_answer = answer_text(prompt, 0, tokens);
  submit(node, std::move(request));
}

CallerRequest Callers::relay_request(const std::string& key) {
  CallerRequest request;
  request.id = next_id();
  request.path = std::string("/services/") + kRelayService + "/send";
  request.body = "text for " + key;
  request.idempotency_key = key;
  request.repeatable = false;
  request.expected_answer = receipt_for(key);
  return request;
}

void Callers::send_once(std::uint32_t node) {
  keys_.push_back("key-" + std::to_string(keys_.size() + 1));
  submit(node, relay_request(keys_.back()));
}

void Callers::repeat_key(std::uint32_t node, std::uint64_t back) {
  if (keys_.empty()) {
    return;
  }
  const std::uint64_t range = std::min<std::uint64_t>(keys_.size(), kRepeatedKeys);
  submit(node, relay_request(keys_[keys_.size() - 1 - back % range]));
}

void Callers::submit(std::uint32_t node, CallerRequest request) {
  request.tenant = TenantName(kTenant);
  // A caller whose connection is refused tries the next node.
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    NodeSlot& slot = *nodes_[(node + i) % nodes_.size()];
    if (!slot.accepting() && !slot.paused()) {
      continue;
    }
    const auto record =
        std::make_shared<CallerRecord>(std::move(request), slot.site().node, surroundings_);
    const CallerRequest& sent = record->request();
    surroundings_.observe(oracle::RequestSubmitted{sent.id, slot.site().node, sent.idempotency_key,
                                                   sent.repeatable, sent.expected_answer});
    std::erase_if(open_, [](const auto& caller) { return caller->ended(); });
    open_.push_back(record);
    slot.submit(record);
    return;
  }
}

void Callers::leave(std::uint64_t which) {
  std::erase_if(open_, [](const auto& caller) { return caller->ended(); });
  if (open_.empty()) {
    return;
  }
  const auto caller = open_[which % open_.size()];
  surroundings_.faults.count(FaultKind::kCallerGone);
  caller->on_gone();
  for (const auto& slot : nodes_) {
    if (slot->site().node == caller->node()) {
      slot->on_caller_gone(*caller);
    }
  }
}

}  // namespace ochrespring::simulation
