// Tests that nodes which restart, and no longer know what they spent, stay within the retry budget.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gateway/retry_budget.h"
#include "tests/window_use.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::WindowUse;

namespace {

constexpr RetryBudgetSettings kBudget{.ratio = 0.2, .slack = 56, .window = 10s};
constexpr std::uint32_t kNodes = 8;
constexpr Duration kRequestPeriod = 50ms;  ///< Of each node.

/// Nodes under steady traffic. Each retry arrives when it is charged.
class RestartingNodes {
 public:
  void restart(std::size_t node) { nodes_[node] = RetryBudget(kBudget, now_); }

  /// While the back ends fail, each request is retried until the budget denies it.
  void run(Duration span, bool failing) {
    for (const MonotonicTime end = now_ + span; now_ < end; now_ += kRequestPeriod) {
      for (RetryBudget& node : nodes_) {
        node.note_request(service_, now_);
        use_.note_request(now_);
        while (failing && node.open(service_, kNodes, now_)) {
          node.settle(service_, 1, now_);
          use_.note_extra_arrival(now_);
        }
      }
    }
  }
  const WindowUse& use() const { return use_; }

 private:
  ServiceName service_{"s"};
  MonotonicTime now_{};
  std::vector<RetryBudget> nodes_{kNodes, RetryBudget(kBudget)};
  WindowUse use_{kBudget};
};

}  // namespace

TEST_CASE("nodes that are killed together after a burst of retries stay within the retry budget") {
  RestartingNodes nodes;
  nodes.run(12s, false);
  nodes.run(1500ms, true);
  for (std::size_t node = 0; node != kNodes; ++node) {
    nodes.restart(node);
  }
  nodes.run(12s, true);
  REQUIRE(nodes.use().extra_arrivals() > 300);
  CHECK(nodes.use().highest() <= 1.0);
}

TEST_CASE("nodes that restart in turn while back ends fail stay within the retry budget") {
  RestartingNodes nodes;
  nodes.run(12s, false);
  for (std::size_t node = 0; node != kNodes; ++node) {
    nodes.run(500ms, true);
    nodes.restart(node);
  }
  nodes.run(12s, true);
  REQUIRE(nodes.use().extra_arrivals() > 300);
  CHECK(nodes.use().highest() <= 1.0);
}

TEST_CASE("under steady traffic no order of failures and restarts exceeds the retry budget") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& steps) {
    RestartingNodes nodes;
    nodes.run(10s, false);
    for (const std::uint8_t step : steps) {
      if (step % 4 == 0) {
        nodes.restart(step / 4 % kNodes);
      }
      nodes.run(std::chrono::milliseconds(step * 8), step % 2 == 0);
    }
    RC_ASSERT(nodes.use().highest() <= 1.0);
  }));
}
