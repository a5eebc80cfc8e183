#include "node/request_explainer.h"

#include <string>
#include <utility>

namespace ochrespring::node {

namespace {

std::string describe(const router::RouteDecision& decision) {
  switch (decision.verdict) {
    case router::RouteVerdict::kDispatch:
      return "dispatched";
    case router::RouteVerdict::kWait:
      return "waited";
    case router::RouteVerdict::kRefuse:
      return "refused";
  }
  return "unknown";
}

operator_api::AttemptExplanation explain(const proxy::DecisionRecord& record) {
  operator_api::AttemptExplanation attempt;
  attempt.engine = record.decision.engine;
  attempt.decision = describe(record.decision);
  attempt.predicted_first_token = record.decision.predicted_first_token;
  attempt.cached_prompt_tokens = record.decision.cached_prompt_tokens;
  return attempt;
}

}  // namespace

/// Answers so far; lives on the control loop.
struct RequestExplainer::Gathering {
  std::size_t loops_left = 0;
  operator_api::RequestExplanation explanation;
  bool found = false;
  Done done;

  void take(const std::vector<proxy::DecisionRecord>& records) {
    for (const proxy::DecisionRecord& record : records) {
      if (!found) {
        explanation.service = record.service;
        explanation.model = record.model;
      }
      found = true;
      explanation.attempts.push_back(explain(record));
    }
    if (--loops_left == 0) {
      finish();
    }
  }

  void finish() {
    if (!found) {
      done(outcome::failure(operator_api::AdminError{
          operator_api::AdminErrc::kNotFound,
          "this node remembers no request '" + explanation.request.value() + "'", std::nullopt}));
      return;
    }
    done(std::move(explanation));
  }
};

void RequestExplainer::ask(const std::vector<proxy::ProxyLoop*>& loops,
                           http::EventLoop& control_loop, const Clock& clock, const NodeId& node,
                           const RequestId& request, Done done) {
  auto gathering = std::make_shared<Gathering>();
  gathering->loops_left = loops.size();
  gathering->explanation.request = request;
  gathering->explanation.node = node;
  gathering->explanation.arrived = clock.wall_now();
  gathering->done = std::move(done);
  for (proxy::ProxyLoop* loop : loops) {
    loop->inspect([gathering, request, &control_loop, &clock](const proxy::Proxy& proxy) {
      control_loop.post([gathering, &clock, records = proxy.explain(request)] {
        if (!records.empty()) {
          gathering->explanation.arrived = clock.wall_now() - (clock.now() - records.front().at);
        }
        gathering->take(records);
      });
    });
  }
}

}  // namespace ochrespring::node
