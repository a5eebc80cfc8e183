// Tests for homes and samples of fleets with thousands of back ends.
#include "gateway/backend_index.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "gateway/fleet_state.h"

using namespace ochrespring;
using namespace ochrespring::gateway;

namespace {

Backend make_backend(int number, const std::string& service = "llm",
                     EngineRole role = EngineRole::kDecode) {
  Backend backend;
  backend.id = BackendId("i-" + std::to_string(number));
  backend.service = ServiceName(service);
  backend.role = role;
  return backend;
}

bool any(const Backend&) {
  return true;
}

}  // namespace

TEST_CASE("removing a back end moves exactly the keys whose home it was") {
  FleetState fleet;
  constexpr int kBackends = 2000;
  for (int i = 0; i != kBackends; ++i) {
    fleet.put(make_backend(i));
  }
  const ServiceName service("llm");
  std::map<std::string, BackendId> homes;
  for (int key = 0; key != 1000; ++key) {
    const std::string text = "part" + std::to_string(key);
    homes[text] = fleet.index().find(service, false)->home(text, any)->id;
  }
  const BackendId removed = homes["part7"];
  fleet.remove(removed);
  for (const auto& [key, home] : homes) {
    const Backend* now = fleet.index().find(service, false)->home(key, any);
    CHECK((now->id == home) == (home != removed));
  }
}

TEST_CASE("homes are spread evenly over all back ends") {
  FleetState fleet;
  for (int i = 0; i != 4000; ++i) {
    fleet.put(make_backend(i));
  }
  std::map<BackendId, int> keys_of;
  for (int key = 0; key != 8000; ++key) {
    ++keys_of[fleet.index().find(ServiceName("llm"), false)->home(std::to_string(key), any)->id];
  }
  int max_keys = 0;
  for (const auto& [id, keys] : keys_of) {
    max_keys = std::max(max_keys, keys);
  }
  // Two keys per back end on average; a uniform random assignment has at most 10.
  CHECK(max_keys <= 13);
  CHECK(keys_of.size() > 3200);
}

TEST_CASE(
    "the home depends on the accepted back ends only, not on the order in which they were added") {
  CHECK(rc::check([] {
    const int count = *rc::gen::inRange(1, 300);
    std::vector<int> order;
    for (int i = 0; i != count; ++i) {
      order.push_back(i);
    }
    BackendIndex forward;
    BackendIndex backward;
    std::vector<Backend> backends;
    for (const int number : order) {
      backends.push_back(make_backend(number));
    }
    for (const Backend& backend : backends) {
      forward.add(backend);
    }
    std::for_each(backends.rbegin(), backends.rend(),
                  [&](const Backend& backend) { backward.add(backend); });
    const int refused = *rc::gen::inRange(0, 7);
    const auto accept = [&](const Backend& backend) {
      return refused == 0 || std::stoi(backend.id.value().substr(2)) % refused != 0;
    };
    const std::string key = std::to_string(*rc::gen::inRange(0, 1000));
    const Backend* one = forward.find(ServiceName("llm"), false)->home(key, accept);
    const Backend* other = backward.find(ServiceName("llm"), false)->home(key, accept);
    const bool same = one == other;
    RC_ASSERT(same);
    const bool none_accepted = std::none_of(backends.begin(), backends.end(), accept);
    const bool found = one != nullptr;
    RC_ASSERT(found != none_accepted);
    const bool accepted = !found || accept(*one);
    RC_ASSERT(accepted);
  }));
}

TEST_CASE("a sample contains distinct, accepted back ends") {
  FleetState fleet;
  for (int i = 0; i != 1000; ++i) {
    fleet.put(make_backend(i));
  }
  SeededRandom random{4};
  const auto accept = [](const Backend& backend) { return backend.id.value().back() != '3'; };
  std::set<const Backend*> all;
  for (int round = 0; round != 400; ++round) {
    const auto sample = fleet.index().find(ServiceName("llm"), false)->sample(16, random, accept);
    CHECK(sample.size() == 16);
    CHECK(std::set<const Backend*>(sample.begin(), sample.end()).size() == 16);
    CHECK(std::all_of(sample.begin(), sample.end(), [&](const Backend* b) { return accept(*b); }));
    all.insert(sample.begin(), sample.end());
  }
  CHECK(all.size() > 850);
}

TEST_CASE("the index follows updates, removals and replacements of the fleet") {
  FleetState fleet;
  fleet.put(make_backend(1, "llm", EngineRole::kPrefill));
  CHECK(fleet.index().find(ServiceName("llm"), true)->size() == 1);
  CHECK(fleet.index().find(ServiceName("llm"), false) == nullptr);
  fleet.put(make_backend(1, "llm", EngineRole::kDecode));
  CHECK(fleet.index().find(ServiceName("llm"), true) == nullptr);
  CHECK(fleet.index().find(ServiceName("llm"), false)->size() == 1);
  fleet.replace({make_backend(2), make_backend(3, "relay", EngineRole::kNone)});
  CHECK(fleet.index().find(ServiceName("llm"), false)->all(any).at(0)->id == BackendId("i-2"));
  CHECK(fleet.index().find(ServiceName("relay"), false)->size() == 1);
  fleet.remove(BackendId("i-3"));
  CHECK(fleet.index().find(ServiceName("relay"), false) == nullptr);
}
