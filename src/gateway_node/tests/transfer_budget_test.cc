// How many transfers a link is trusted with.
#include "gateway_node/transfer_budget.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace std::chrono_literals;

namespace {

/// Transfers of 300 KB that are admitted at one moment.
int admitted_at_once(std::uint32_t link_mbps) {
  TransferBudget budget(link_mbps);
  int admitted = 0;
  while (admitted != 1000 && budget.admit(300'000, MonotonicTime{})) {
    ++admitted;
  }
  return admitted;
}

}  // namespace

TEST_CASE("a link takes as many transfers as leave it while askers wait") {
  CHECK(admitted_at_once(20) == 1);
  CHECK(admitted_at_once(200) == 16);
  CHECK(admitted_at_once(0) == 1000);
}

TEST_CASE("a transfer larger than the link carries in time goes alone") {
  TransferBudget budget(20);
  CHECK(budget.admit(10'000'000, MonotonicTime{}));
  CHECK_FALSE(budget.admit(1, MonotonicTime{} + 1s));
  CHECK(budget.admit(1, MonotonicTime{} + 8s));
}
