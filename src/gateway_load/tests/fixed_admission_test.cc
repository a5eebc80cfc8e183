// Tests the fixture with the simplest admission: a fixed limit on the calls in flight.
#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>

#include "workload.h"

using namespace ochrespring;
using namespace ochrespring::gateway_load;
using namespace std::chrono_literals;

namespace {

/// Limits the calls in flight of each class over all nodes; a real node sees only its own calls.
class FixedAdmission final : public Admission {
 public:
  explicit FixedAdmission(std::map<std::string, std::uint32_t> limits)
      : limits_(std::move(limits)) {}
  /// One limit for all classes together.
  explicit FixedAdmission(std::uint32_t limits) : limits_({{kAll, limits}}) {}

  void arrived(const Arrival& arrival) override {
    const std::string name = limits_.contains(kAll) ? kAll : arrival.request_class->name;
    if (running_[name] >= limits_.at(name)) {
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
  std::map<std::string, std::uint32_t> limits_;
  std::map<std::string, std::uint32_t> running_;
  std::map<CallId, std::string> sent_;
};

}  // namespace

// Guards against bounds in two_classes_test that no admission could meet on these engines. Half of
// the 24 slots are for chats.
TEST_CASE(
    "a limit on calls in flight gives each class its share when demand exceeds the capacity") {
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

// Guards against a fixture in which rejected callers do not retry, or in which the two kinds of
// retries are not distinguished: checks of callers that ignore the retry time would prove nothing.
TEST_CASE("rejected callers retry after a fixed wait or at the time that the rejection named") {
  class RejectsNew final : public Admission {
   public:
    void arrived(const Arrival& arrival) override {
      ++(arrival.honored_retry_after ? returned : fresh);
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
    CHECK(fleet.tally("reviews").rejected == fleet.tally("reviews").offered);
    CHECK(fleet.tally("reviews").on_time == 0);
    CHECK(admission.fresh > 0);
  }
}

// Guards against a check that cannot fail: under one limit for all classes, callers that retry more
// often get more calls on time.
TEST_CASE(
    "callers that ignore the retry time gain under a limit shared by all classes and gain nothing "
    "under a limit per class") {
  const auto gains_nothing = [](FixedAdmission admission, std::uint64_t seed) {
    LoadFleet fleet(service_a_with_callers_ignoring_retry_after(equal_engines(4), 2, seed));
    fleet.set_admission(&admission);
    set_retry_behavior(fleet);
    fleet.run(kWarmUp, kMeasured);
    return callers_ignoring_retry_after_gain_nothing(fleet);
  };
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    CHECK(gains_nothing(FixedAdmission({{"reviews", 3}, {"hasty", 3}, {"chats", 12}}), seed));
    CHECK_FALSE(gains_nothing(FixedAdmission(18), seed));
  }
}
