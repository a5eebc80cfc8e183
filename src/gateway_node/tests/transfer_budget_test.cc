// The number of view transfers that a link admits.
#include "gateway_node/transfer_budget.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace std::chrono_literals;

namespace {

/// Number of transfers of 300 KB that are admitted at the same time, up to 1000.
int admitted_at_once(std::uint32_t link_mbps) {
  TransferBudget budget(link_mbps);
  int admitted = 0;
  while (admitted != 1000 && budget.admit(300'000, MonotonicTime{})) {
    ++admitted;
  }
  return admitted;
}

}  // namespace

TEST_CASE("a link admits as many transfers as it can finish while askers wait") {
  CHECK(admitted_at_once(20) == 1);
  CHECK(admitted_at_once(200) == 16);
  CHECK(admitted_at_once(0) == 1000);
}

TEST_CASE("a transfer larger than the link can send in time is admitted alone") {
  TransferBudget budget(20);
  CHECK(budget.admit(10'000'000, MonotonicTime{}));
  CHECK_FALSE(budget.admit(1, MonotonicTime{} + 1s));
  CHECK(budget.admit(1, MonotonicTime{} + 8s));
}
