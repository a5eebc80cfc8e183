// Tests the account of what clients hold, and the order in which they give way.
#include "http/memory_account.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "http/body.h"
#include "http/eviction_order.h"

using namespace ochrespring;
using namespace ochrespring::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLimit = 8U << 20U;
constexpr std::size_t kLarge = 1U << 20U;
constexpr std::size_t kSmall = 16U << 10U;

std::unique_ptr<MemoryCharge> accept(const std::shared_ptr<MemoryAccount>& account,
                                     std::size_t bytes) {
  return std::make_unique<MemoryCharge>(account, MemoryAccount::Kind::kAccepted, bytes);
}

}  // namespace

TEST_CASE("a body is charged once, however many copies share it, and until the last one is gone") {
  const auto account = std::make_shared<MemoryAccount>(kLimit);
  auto first = std::make_unique<Body>(std::string(kSmall, 'x'), accept(account, kSmall));
  auto second = std::make_unique<Body>(*first);
  CHECK(account->total() == kSmall);
  CHECK(second->view().data() == first->view().data());
  first.reset();
  CHECK(account->total() == kSmall);
  CHECK(account->accepted_requests() == 1);
  second.reset();
  CHECK(account->total() == 0);
  CHECK(account->accepted_requests() == 0);
}

TEST_CASE("large requests leave room for small ones, and all of them for requests being read") {
  const auto account = std::make_shared<MemoryAccount>(kLimit);
  std::vector<std::unique_ptr<MemoryCharge>> held;
  while (account->admits(kLarge)) {
    held.push_back(accept(account, kLarge));
  }
  CHECK(account->total() == kLimit / 2);
  while (account->admits(kSmall)) {
    held.push_back(accept(account, kSmall));
  }
  CHECK(account->total() == kLimit / 4 * 3);
  held.clear();
  CHECK(account->admits(kLarge));
}

TEST_CASE("a request that is larger than its share is accepted if no other one is held") {
  const auto account = std::make_shared<MemoryAccount>(kLimit);
  CHECK(account->admits(kLimit));
  const auto other = accept(account, kSmall);
  CHECK(!account->admits(kLimit));
}

TEST_CASE("who holds more for longer gives way first, and who moves later than who does not") {
  const Occupancy ordinary{.bytes = 100'000, .age = 30ms, .stall = 5ms};
  const Occupancy steady{.bytes = 4U << 20U, .age = 2s, .stall = 10ms};
  const Occupancy held{.bytes = 4U << 20U, .age = 2s, .stall = 2s};
  const Occupancy small_held{.bytes = 100'000, .age = 60s, .stall = 60s};
  CHECK(eviction_cost(ordinary) < eviction_cost(steady));
  CHECK(eviction_cost(steady) < eviction_cost(held));
  CHECK(eviction_cost(steady) < eviction_cost(small_held));
}

TEST_CASE("a client that sends a byte now and then pays for its age") {
  const Occupancy dripping{.bytes = 1U << 20U, .age = 40s, .stall = 1ms};
  const Occupancy young{.bytes = 1U << 20U, .age = 1s, .stall = 900ms};
  CHECK(eviction_cost(dripping) > eviction_cost(young));
}
