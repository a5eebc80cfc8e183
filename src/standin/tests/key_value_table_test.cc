#include "standin/model/key_value_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>

#include "simulation/virtual_time.h"

using namespace std::chrono_literals;
using ochrespring::MonotonicTime;
using ochrespring::external::KeyVersion;
using ochrespring::external::LeaseId;
using ochrespring::simulation::VirtualTime;
using ochrespring::standin::KeyValueSettings;
using ochrespring::standin::KeyValueTable;

TEST_CASE("a swap needs the version in place") {
  VirtualTime time;
  KeyValueTable table(time, {});
  const auto created = table.compare_and_swap("a", KeyVersion(0), "1", {});
  REQUIRE(created.value().swapped);
  const auto racing = table.compare_and_swap("a", KeyVersion(0), "2", {});
  CHECK_FALSE(racing.value().swapped);
  CHECK(racing.value().current->value == "1");
  CHECK(table.compare_and_swap("a", created.value().version, "2", {}).value().swapped);
  CHECK(table.get("a")->value == "2");
}

TEST_CASE("a key that comes back has a version it never had") {
  VirtualTime time;
  KeyValueTable table(time, {});
  const KeyVersion first = table.compare_and_swap("a", KeyVersion(0), "1", {}).value().version;
  REQUIRE(table.compare_and_delete("a", first).swapped);
  const KeyVersion second = table.compare_and_swap("a", KeyVersion(0), "1", {}).value().version;
  CHECK(second > first);
}

TEST_CASE("keys vanish with their lease, unless it is renewed") {
  VirtualTime time;
  KeyValueTable table(time, {});
  const LeaseId lease = table.grant_lease(10s);
  REQUIRE(table.compare_and_swap("a", KeyVersion(0), "1", lease).value().swapped);
  time.run_until(MonotonicTime(9s));
  REQUIRE(table.renew_lease(lease).has_value());
  time.run_until(MonotonicTime(18s));
  CHECK(table.get("a").has_value());
  time.run_until(MonotonicTime(19s));
  CHECK_FALSE(table.get("a").has_value());
  CHECK(table.renew_lease(lease).has_error());
  CHECK(table.compare_and_swap("b", KeyVersion(0), "1", lease).has_error());
}

TEST_CASE("a key taken over without the lease survives it") {
  VirtualTime time;
  KeyValueTable table(time, {});
  const LeaseId lease = table.grant_lease(10s);
  const KeyVersion bound = table.compare_and_swap("a", KeyVersion(0), "1", lease).value().version;
  REQUIRE(table.compare_and_swap("a", bound, "2", {}).value().swapped);
  time.run_until(MonotonicTime(20s));
  CHECK(table.get("a")->value == "2");
}

TEST_CASE("changes are read once from a position, deletions included") {
  VirtualTime time;
  KeyValueTable table(time, {});
  const std::uint64_t start = table.position();
  const KeyVersion version = table.compare_and_swap("p/a", KeyVersion(0), "1", {}).value().version;
  table.compare_and_swap("q/a", KeyVersion(0), "1", {}).value();
  table.compare_and_delete("p/a", version);
  const auto batch = table.changes_after("p/", start);
  REQUIRE(batch.changes.size() == 2);
  CHECK(batch.changes[1].version == KeyVersion(0));
  CHECK_FALSE(batch.compacted);
  CHECK(table.changes_after("p/", batch.position).changes.empty());
}

TEST_CASE("a reader that fell behind is told so") {
  VirtualTime time;
  KeyValueSettings settings;
  settings.changes_kept = 2;
  KeyValueTable table(time, settings);
  const std::uint64_t start = table.position();
  for (const char* key : {"a", "b", "c"}) {
    table.compare_and_swap(key, KeyVersion(0), "1", {}).value();
  }
  CHECK(table.changes_after("", start).compacted);
}

TEST_CASE("calls above the rate limit are refused until it refills") {
  VirtualTime time;
  KeyValueSettings settings;
  settings.calls_per_second = 10;
  settings.burst_calls = 2;
  KeyValueTable table(time, settings);
  CHECK(table.admit());
  CHECK(table.admit());
  CHECK_FALSE(table.admit());
  time.run_until(MonotonicTime(table.retry_after()));
  CHECK(table.admit());
}

TEST_CASE("a restore brings the old state back under versions that were used") {
  VirtualTime time;
  KeyValueTable table(time, {});
  const KeyVersion old = table.compare_and_swap("a", KeyVersion(0), "old", {}).value().version;
  const auto backup = table.backup();
  const KeyVersion fresh = table.compare_and_swap("a", old, "new", {}).value().version;
  table.restore(backup);
  CHECK(table.get("a")->value == "old");
  const auto again = table.compare_and_swap("a", old, "newer", {}).value();
  CHECK(again.swapped);
  CHECK(again.version > fresh);
}

TEST_CASE("the table agrees with a plain map under any history of swaps and deletions") {
  CHECK(rc::check([] {
    VirtualTime time;
    KeyValueTable table(time, {});
    std::map<std::string, std::pair<std::string, KeyVersion>> oracle;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
    for (const auto& [key_number, action, stale] : steps) {
      const std::string key(1, static_cast<char>('a' + key_number));
      const auto known = oracle.find(key);
      const KeyVersion truth = known == oracle.end() ? KeyVersion() : known->second.second;
      const KeyVersion expected = stale ? KeyVersion(truth.value() + 1) : truth;
      if (action == 0) {
        RC_ASSERT(table.compare_and_delete(key, expected).swapped == !stale);
        if (!stale) {
          oracle.erase(key);
        }
        continue;
      }
      const auto outcome =
          table.compare_and_swap(key, expected, std::to_string(action), {}).value();
      RC_ASSERT(outcome.swapped == !stale);
      if (!stale) {
        oracle[key] = {std::to_string(action), outcome.version};
      }
    }
    const auto entries = table.list("");
    RC_ASSERT(entries.size() == oracle.size());
    for (const auto& entry : entries) {
      RC_ASSERT(oracle.at(entry.key) == std::make_pair(entry.value, entry.version));
    }
  }));
}
