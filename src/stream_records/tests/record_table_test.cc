#include "stream_records/record_table.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::stream_records;
using namespace std::chrono_literals;
using gateway::SoftwareId;

namespace {

constexpr MonotonicTime kStart{1h};

StreamRecord make_record(std::uint64_t tenant, std::uint64_t attempt, std::uint64_t software = 1,
                         Duration lifetime = 4s) {
  return {{tenant, attempt}, SoftwareId(software), lifetime};
}

}  // namespace

TEST_CASE("a record is known until its lifetime ends, which an equal record extends") {
  RecordTable table;
  table.put(make_record(1, 1), kStart);
  CHECK(table.find({1, 1}, kStart + 3999ms).state == RecordState::kKnown);
  CHECK(table.find({1, 1}, kStart + 3999ms).software == SoftwareId(1));
  CHECK(table.find({1, 1}, kStart + 4s).state == RecordState::kNone);
  table.put(make_record(1, 1), kStart + 3s);
  CHECK(table.find({1, 1}, kStart + 6s).state == RecordState::kKnown);
  // A shorter lifetime does not end it earlier.
  table.put(make_record(1, 1, 1, 1s), kStart + 4s);
  CHECK(table.find({1, 1}, kStart + 6s).state == RecordState::kKnown);
  CHECK(table.find({2, 1}, kStart).state == RecordState::kNone);
}

TEST_CASE("records that name different software leave the stream unknown until they expire") {
  RecordTable table;
  table.put(make_record(1, 1, 1), kStart);
  table.put(make_record(1, 1, 2), kStart + 1s);
  table.put(make_record(1, 1, 1), kStart + 2s);
  CHECK(table.find({1, 1}, kStart + 5s).state == RecordState::kConflicting);
  CHECK(table.conflicts() == 1);
  table.put(make_record(1, 1, 2), kStart + 6s);
  CHECK(table.find({1, 1}, kStart + 7s).state == RecordState::kKnown);
  CHECK(table.find({1, 1}, kStart + 7s).software == SoftwareId(2));
}

TEST_CASE("a tenant that floods the table evicts no record of another tenant") {
  RecordTable table(1000);
  for (std::uint64_t attempt = 0; attempt != 100; ++attempt) {
    table.put(make_record(1, attempt), kStart);
  }
  for (std::uint64_t attempt = 0; attempt != 100'000; ++attempt) {
    table.put(make_record(2, attempt), kStart + 1ms * (attempt / 1000));
    REQUIRE(table.size() <= 1000);
  }
  for (std::uint64_t attempt = 0; attempt != 100; ++attempt) {
    REQUIRE(table.find({1, attempt}, kStart + 1s).state == RecordState::kKnown);
  }
  CHECK(table.evicted() >= 99'000);
  // Of the tenant's own records, the newest remain.
  CHECK(table.find({2, 99'999}, kStart + 1s).state == RecordState::kKnown);
}

TEST_CASE("expired records leave the table") {
  RecordTable table;
  for (std::uint64_t attempt = 0; attempt != 500; ++attempt) {
    table.put(make_record(attempt % 7, attempt), kStart);
  }
  CHECK(table.size() == 500);
  table.put(make_record(1, 1000), kStart + 5s);
  CHECK(table.size() == 1);
  CHECK(table.evicted() == 0);
}
