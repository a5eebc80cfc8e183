// Listings of the whole store in ranges, with failing pages.
#include "discovery/fleet_lister.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulation/virtual_time.h"
#include "tests/stub_store.h"

using namespace ochrespring;
using namespace ochrespring::discovery;
using namespace std::chrono_literals;
using shared_store::Change;
using shared_store::Listing;
using shared_store::ListPage;
using shared_store::StoreErrc;
using shared_store::StoreRevision;

namespace {

/// Serves pages of a set of keys. Every call takes a millisecond; the first `failures_left` calls
/// fail.
class PagedStore final : public testing::StubStore {
 public:
  PagedStore(simulation::VirtualTime& time, std::set<std::string> keys, std::size_t page_items)
      : time_(time), keys_(std::move(keys)), page_items_(page_items) {}

  void list_page(const shared_store::PageRequest& request,
                 shared_store::StoreCallback<ListPage> done) override {
    ++calls;
    ++open_calls_;
    max_open_calls = std::max(max_open_calls, open_calls_);
    time_.schedule_after(1ms, [this, request, done = std::move(done)] {
      --open_calls_;
      if (failures_left != 0) {
        --failures_left;
        done(fail(StoreErrc::kRateLimited, "too many"));
        return;
      }
      ListPage page;
      page.revision = StoreRevision(++revision_);
      for (auto key = keys_.upper_bound(request.after); key != keys_.end(); ++key) {
        page.more = page.items.size() == page_items_;
        if (page.more) {
          break;
        }
        page.items.push_back({*key, "value", StoreRevision(1)});
      }
      done(std::move(page));
    });
  }

  int calls = 0;
  int max_open_calls = 0;
  int failures_left = 0;

 private:
  simulation::VirtualTime& time_;
  std::set<std::string> keys_;
  std::size_t page_items_;
  int open_calls_ = 0;
  std::uint64_t revision_ = 10;
};

std::string key_of(int number) {
  return "k" + std::to_string(1000 + number);
}

std::set<std::string> make_keys(int count) {
  std::set<std::string> keys;
  for (int i = 0; i != count; ++i) {
    keys.insert(key_of(i));
  }
  return keys;
}

struct ListerFixture {
  explicit ListerFixture(int keys, std::size_t page_items = 10)
      : store(time, make_keys(keys), page_items) {}

  void list(const std::vector<std::string>& ends) {
    lister.start(ends, [this](auto result) { listing_result.emplace(std::move(result)); });
    time.run_until(time.now() + 5s);
  }

  simulation::VirtualTime time;
  PagedStore store;
  FleetLister lister{store, time};
  std::optional<Result<Listing, shared_store::StoreError>> listing_result;
};

}  // namespace

TEST_CASE("each key is listed once and in order, whatever the boundaries of the ranges") {
  CHECK(rc::check([] {
    const int keys = *rc::gen::inRange(0, 120);
    ListerFixture fixture(keys, *rc::gen::inRange<std::size_t>(1, 30));
    std::set<std::string> ends;
    const int count = *rc::gen::inRange(0, 9);
    for (int i = 0; i != count; ++i) {
      // Boundaries need not be existing keys and may lie after the last one.
      ends.insert(key_of(*rc::gen::inRange(0, 140)));
    }
    fixture.list({ends.begin(), ends.end()});
    RC_ASSERT(fixture.listing_result.has_value());
    RC_ASSERT(fixture.listing_result->has_value());
    std::vector<std::string> listed;
    for (const Change& item : fixture.listing_result->value().items) {
      listed.push_back(item.key);
    }
    const std::set<std::string> all = make_keys(keys);
    RC_ASSERT(listed == std::vector<std::string>(all.begin(), all.end()));
    RC_ASSERT(fixture.listing_result->value().revision == StoreRevision(11));
  }));
}

TEST_CASE("ranges are listed concurrently") {
  ListerFixture fixture(100);
  fixture.list({key_of(24), key_of(49), key_of(74)});
  CHECK(fixture.store.max_open_calls == 4);
  CHECK(fixture.listing_result->value().items.size() == 100);
}

TEST_CASE("a failed page is retried and the pages before it are kept") {
  ListerFixture fixture(100);
  fixture.store.failures_left = 2;
  fixture.list({});
  CHECK(fixture.listing_result->value().items.size() == 100);
  CHECK(fixture.store.calls == 12);
}

TEST_CASE("if the store keeps failing, the listing fails once with the error of the store") {
  ListerFixture fixture(100);
  fixture.store.failures_left = 1000;
  fixture.list({key_of(49)});
  REQUIRE(fixture.listing_result.has_value());
  CHECK(fixture.listing_result->error().code == StoreErrc::kRateLimited);
  CHECK_FALSE(fixture.lister.running());
  CHECK(fixture.store.calls <= 6);
}

TEST_CASE("a listing continues after a page that has already been read") {
  ListerFixture fixture(30);
  ListPage first{{{key_of(0), "value", StoreRevision(1)}, {key_of(1), "value", StoreRevision(1)}},
                 true,
                 StoreRevision(5)};
  fixture.lister.resume(first,
                        [&](auto result) { fixture.listing_result.emplace(std::move(result)); });
  fixture.time.run_until(fixture.time.now() + 1s);
  CHECK(fixture.listing_result->value().items.size() == 30);
  CHECK(fixture.listing_result->value().revision == StoreRevision(5));
}

TEST_CASE("a cancelled listing does not call back") {
  ListerFixture fixture(100);
  bool called = false;
  fixture.lister.start({}, [&](const auto&) { called = true; });
  fixture.time.run_until(fixture.time.now() + 2ms);
  fixture.lister.stop();
  fixture.time.run_until(fixture.time.now() + 1s);
  CHECK_FALSE(called);
  fixture.list({});
  CHECK(fixture.listing_result->value().items.size() == 100);
}

// Guards against a reference cycle: the retry callback owned the run that owned the timer, and
// nodes terminated while a page waited for its retry freed both twice.
TEST_CASE("a listing cancelled while a page waits for its retry is freed immediately") {
  ListerFixture fixture(5);
  fixture.store.failures_left = 1;
  const auto token = std::make_shared<int>(0);
  fixture.lister.start({}, [token](auto /*result*/) {});
  fixture.time.run_until(fixture.time.now() + 50ms);
  CHECK(token.use_count() == 2);
  fixture.lister.stop();
  CHECK(token.use_count() == 1);
  fixture.time.run_until(fixture.time.now() + 1s);
  CHECK(fixture.store.calls == 1);
}
