// What back ends have asked for is kept to until it is over, and no longer.
#include "admission/backoff_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <tuple>
#include <vector>

using namespace ochrespring;
using namespace ochrespring::admission;
using namespace std::chrono_literals;

namespace {

const gateway::BackendId kBackend("s@1");

MonotonicTime at(Duration span) {
  return MonotonicTime() + 100s + span;
}

}  // namespace

TEST_CASE("of two pauses that overlap the later end counts") {
  BackoffTable table;
  CHECK(table.note_backoff(kBackend, 3s, at(0s)));
  CHECK_FALSE(table.note_backoff(kBackend, 1s, at(1s)));
  CHECK_FALSE(table.note_backoff(kBackend, 2s, at(1s)));
  CHECK(table.is_backing_off(kBackend, at(2999ms)));
  CHECK(table.note_backoff(kBackend, 3s, at(1s)));
  CHECK(table.is_backing_off(kBackend, at(3999ms)));
  CHECK_FALSE(table.is_backing_off(kBackend, at(4s)));
}

TEST_CASE("no time at all asks for nothing") {
  BackoffTable table;
  CHECK_FALSE(table.note_backoff(kBackend, 0s, at(0s)));
  CHECK(table.has_room(kBackend, at(0s)));
}

TEST_CASE("another life of a server has not asked") {
  BackoffTable table;
  table.note_backoff(kBackend, 3s, at(0s));
  CHECK(table.has_room(gateway::BackendId("s@2"), at(1s)));
}

TEST_CASE("after a pause a back end gets one request, then twice as many with each good answer") {
  BackoffTable table;
  table.note_backoff(kBackend, 1s, at(0s));
  const MonotonicTime end = at(1s);
  const auto sends_until_full = [&] {
    std::size_t sends = 0;
    for (; table.has_room(kBackend, end) && sends != 100; ++sends) {
      table.note_send(kBackend, end);
    }
    return sends;
  };
  CHECK(sends_until_full() == 1);
  CHECK_FALSE(table.note_good_answer(kBackend, at(500ms)));
  CHECK(sends_until_full() == 0);
  CHECK_FALSE(table.note_good_answer(kBackend, end));
  CHECK(sends_until_full() == 1);
  CHECK_FALSE(table.note_good_answer(kBackend, end));
  CHECK(sends_until_full() == 2);
  CHECK(table.note_good_answer(kBackend, end));
  CHECK(sends_until_full() == 100);
}

TEST_CASE("a back end whose answers do not come is not left alone for good") {
  BackoffTable table;
  table.note_backoff(kBackend, 1s, at(0s));
  table.note_send(kBackend, at(1s));
  CHECK_FALSE(table.has_room(kBackend, at(1050ms)));
  CHECK(table.has_room(kBackend, at(1100ms)));
  table.note_send(kBackend, at(1100ms));
  CHECK_FALSE(table.has_room(kBackend, at(1150ms)));
  CHECK(table.has_room(kBackend, at(3s)));
}

TEST_CASE("whatever is asked and answered, nothing is sent in a pause, and all is open after it") {
  CHECK(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& steps) {
        BackoffTable table;
        std::map<std::string, MonotonicTime> ends;  // The oracle.
        MonotonicTime now = at(0s);
        for (const auto& [server, kind, milliseconds] : steps) {
          const std::string name = "s@" + std::to_string(server % 3);
          const gateway::BackendId id(name);
          const Duration span = std::chrono::milliseconds(milliseconds % 5000);
          switch (kind % 4) {
            case 0:
              table.note_backoff(id, span, now);
              ends[name] = std::max(ends[name], now + span);
              break;
            case 1:
              now += span;
              break;
            case 2:
              table.note_good_answer(id, now - span);
              break;
            default:
              if (table.has_room(id, now)) {
                RC_ASSERT(now >= ends[name]);
                table.note_send(id, now);
              }
          }
          RC_ASSERT(table.is_backing_off(id, now) == (now < ends[name]));
        }
        for (const auto& [name, end] : ends) {
          RC_ASSERT(table.has_room(gateway::BackendId(name), std::max(end, now) + 2s));
        }
      }));
}
