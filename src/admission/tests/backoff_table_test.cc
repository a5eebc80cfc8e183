// Tests that backoff periods are respected until they end, and no longer.
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

TEST_CASE("of two overlapping backoff periods the later end applies") {
  BackoffTable table;
  CHECK(table.note_backoff(kBackend, 3s, at(0s)));
  CHECK_FALSE(table.note_backoff(kBackend, 1s, at(1s)));
  CHECK_FALSE(table.note_backoff(kBackend, 2s, at(1s)));
  CHECK(table.is_backing_off(kBackend, at(2999ms)));
  CHECK(table.note_backoff(kBackend, 3s, at(1s)));
  CHECK(table.is_backing_off(kBackend, at(3999ms)));
  CHECK_FALSE(table.is_backing_off(kBackend, at(4s)));
}

TEST_CASE("a backoff period of zero has no effect") {
  BackoffTable table;
  CHECK_FALSE(table.note_backoff(kBackend, 0s, at(0s)));
  CHECK(table.has_room(kBackend, at(0s)));
}

TEST_CASE("another incarnation of a back end is not backing off") {
  BackoffTable table;
  table.note_backoff(kBackend, 3s, at(0s));
  CHECK(table.has_room(gateway::BackendId("s@2"), at(1s)));
}

TEST_CASE(
    "after a backoff period the window starts at one request and doubles with each good answer") {
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

TEST_CASE("a back end that does not answer is sent further requests after the backoff period") {
  BackoffTable table;
  table.note_backoff(kBackend, 1s, at(0s));
  table.note_send(kBackend, at(1s));
  CHECK_FALSE(table.has_room(kBackend, at(1050ms)));
  CHECK(table.has_room(kBackend, at(1100ms)));
  table.note_send(kBackend, at(1100ms));
  CHECK_FALSE(table.has_room(kBackend, at(1150ms)));
  CHECK(table.has_room(kBackend, at(3s)));
}

TEST_CASE("nothing is sent during a backoff period, and everything is allowed after recovery") {
  CHECK(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& steps) {
        BackoffTable table;
        std::map<std::string, MonotonicTime> ends;  // Reference model.
        MonotonicTime now = at(0s);
        for (const auto& [backend_number, kind, milliseconds] : steps) {
          const std::string name = "s@" + std::to_string(backend_number % 3);
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
