// The fixture with the simplest admission: so many calls of a class at the engines, no more.
#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>

#include "workload.h"

using namespace ochrespring;
using namespace ochrespring::gateway_load;
using namespace std::chrono_literals;

namespace {

/// Knows all nodes' calls at once, as no node does.
class FixedAdmission final : public Admission {
 public:
  explicit FixedAdmission(std::map<std::string, std::uint32_t> most) : most_(std::move(most)) {}
  /// All classes together.
  explicit FixedAdmission(std::uint32_t most) : most_({{kAll, most}}) {}

  void arrived(const Arrival& arrival) override {
    const std::string name = most_.contains(kAll) ? kAll : arrival.request_class->name;
    if (running_[name] >= most_.at(name)) {
      arrival.reject(100ms);
      return;
    }
    ++running_[name];
    sent_[arrival.call] = name;
    arrival.send();
  }
  void left(std::size_t /*node*/, CallId /*call*/) override {}
  void ended(std::size_t /*node*/, CallId call) override {
    --running_[sent_.at(call)];
    sent_.erase(call);
  }

 private:
  static constexpr const char* kAll = "all";
  std::map<std::string, std::uint32_t> most_;
  std::map<std::string, std::uint32_t> running_;
  std::map<CallId, std::string> sent_;
};

}  // namespace

// Guards against bounds of two_classes_test that no admission could meet on these engines: of the
// 24 slots half are for chats.
TEST_CASE("with a bound on calls in flight each class gets its share above the capacity") {
  for (const double load : {1.2, 2.0, 4.0}) {
    for (const std::uint64_t seed : kSeeds) {
      CAPTURE(load);
      CAPTURE(seed);
      FixedAdmission admission({{"reviews", 6}, {"chats", 12}});
      LoadFleet fleet(service_a(equal_engines(4), load, seed));
      fleet.set_admission(&admission);
      fleet.run(kWarmUp, kMeasured);
      check_fair_share(fleet, "reviews", load);
      check_fair_share(fleet, "chats", load);
    }
  }
}

// Guards against a fixture in which rejected callers do not come back, or are not told apart: the
// checks of queues under callers that ignore what they are told would say nothing.
TEST_CASE("rejected callers come back, at once or when they were told to") {
  class RejectsNew final : public Admission {
   public:
    void arrived(const Arrival& arrival) override {
      ++(arrival.came_back ? returned : fresh);
      arrival.reject(1s);
    }
    void left(std::size_t /*node*/, CallId /*call*/) override {}
    void ended(std::size_t /*node*/, CallId /*call*/) override {}
    int returned = 0;
    int fresh = 0;
  };
  for (const std::optional<Duration> wait :
       {std::optional<Duration>(), std::optional<Duration>(50ms)}) {
    CAPTURE(wait.has_value());
    RejectsNew admission;
    LoadFleet fleet(service_a(equal_engines(4), 0.1, 1));
    fleet.set_admission(&admission);
    fleet.set_retries("reviews", wait);
    fleet.run(0s, 2s);
    CHECK((admission.returned > 0) == !wait.has_value());
    CHECK(fleet.of("reviews").rejected == fleet.of("reviews").offered);
    CHECK(fleet.of("reviews").on_time == 0);
    CHECK(admission.fresh > 0);
  }
}

// Guards against a check of hasty callers that nothing fails: where calls of all classes compete
// for the same bound, whoever comes more often gets more.
TEST_CASE(
    "hasty callers gain where admission does not tell them apart, and nothing where it does") {
  const auto gains_nothing = [](FixedAdmission admission, std::uint64_t seed) {
    LoadFleet fleet(service_a_with_haste(equal_engines(4), 2, seed));
    fleet.set_admission(&admission);
    set_haste(fleet);
    fleet.run(kWarmUp, kMeasured);
    return haste_gains_nothing(fleet);
  };
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    CHECK(gains_nothing(FixedAdmission({{"reviews", 3}, {"hasty", 3}, {"chats", 12}}), seed));
    CHECK_FALSE(gains_nothing(FixedAdmission(18), seed));
  }
}
