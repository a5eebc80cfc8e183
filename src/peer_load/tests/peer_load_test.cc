// Tests what nodes and relays report about work at engines, and how reports that arrive late or out
// of order are applied.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "peer_load/datagram_socket.h"
#include "peer_load/peer_work.h"
#include "peer_load/work_announcer.h"
#include "simulation/virtual_time.h"
#include "wire/codec.h"

using namespace ochrespring;
using namespace ochrespring::peer_load;
using namespace std::chrono_literals;
using gateway::BackendId;

namespace {

WorkReport make_report(std::string node, std::uint64_t sequence, std::uint32_t requests,
                       std::uint64_t tokens) {
  return {NodeId(std::move(node)),
          1,
          sequence,
          {{.engine = BackendId("e"),
            .requests = requests,
            .pending_prefill_tokens = tokens,
            .prefilled_parts = {}}}};
}

/// A node and the reports that it sends about its own work.
struct AnnouncingNode {
  simulation::VirtualTime time;
  gateway::LoadTable loads;
  std::vector<WorkReport> sent;
  WorkAnnouncer announcer{time,
                          {.node = NodeId("a"), .incarnation = 7},
                          [this](const BackendId& id) { return loads.own(id); },
                          [this](const WorkReport& report) { sent.push_back(report); }};
};

}  // namespace

TEST_CASE("the newest reports of several nodes are summed") {
  PeerWork work;
  const MonotonicTime now{};
  work.apply(make_report("a", 1, 2, 100), now);
  work.apply(make_report("b", 1, 1, 50), now);
  work.apply(make_report("a", 3, 1, 30), now);
  work.apply(make_report("a", 2, 9, 900), now);
  CHECK(work.work_at(BackendId("e"), now).requests == 2);
  CHECK(work.work_at(BackendId("e"), now).pending_prefill_tokens == 80);
  CHECK(work.work_at(BackendId("other"), now).requests == 0);
}

TEST_CASE(
    "the work of a node that stops reporting expires; a new incarnation restarts its sequence") {
  PeerWork work;
  MonotonicTime now{};
  work.apply(make_report("a", 50, 2, 100), now);
  CHECK(work.work_at(BackendId("e"), now + 2s).requests == 2);
  CHECK(work.work_at(BackendId("e"), now + 3s).requests == 0);
  WorkReport restarted = make_report("a", 1, 1, 10);
  restarted.incarnation = 2;
  work.apply(restarted, now);
  CHECK(work.work_at(BackendId("e"), now).requests == 1);
}

TEST_CASE("this node's own work is subtracted from relayed sums") {
  gateway::LoadTable loads;
  PeerWork work([&](const BackendId& engine) { return loads.own(engine); });
  const MonotonicTime now{};
  loads.begin(BackendId("e"), 100);
  work.apply_relayed(make_report("relay", 1, 3, 700), now);
  CHECK(work.work_at(BackendId("e"), now).requests == 2);
  CHECK(work.work_at(BackendId("e"), now).pending_prefill_tokens == 600);
  // The sum may be older than the work that has begun here since.
  work.apply_relayed(make_report("relay", 2, 0, 0), now);
  CHECK(work.work_at(BackendId("e"), now).requests == 0);
  CHECK(work.work_at(BackendId("e"), now).pending_prefill_tokens == 0);
}

TEST_CASE("relayed sums expire when relays stop reporting; direct reports still count") {
  PeerWork work;
  const MonotonicTime now{};
  work.apply_relayed(make_report("relay", 1, 3, 700), now);
  work.apply(make_report("a", 1, 1, 900), now + 2s);
  CHECK(work.work_at(BackendId("e"), now + 2s).requests == 3);
  CHECK(work.work_at(BackendId("e"), now + 2s).pending_prefill_tokens == 900);
  CHECK(work.work_at(BackendId("e"), now + 3s).requests == 1);
  work.forget(BackendId("e"));
  CHECK(work.work_at(BackendId("e"), now + 3s).requests == 0);
}

TEST_CASE("direct work is the sum of the newest unexpired report of each node") {
  CHECK(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t>>& steps) {
        PeerWork work;
        MonotonicTime now{};
        std::map<int, std::pair<std::uint32_t, MonotonicTime>> expected;
        std::uint64_t sequence = 0;
        for (const auto& [node, requests, wait] : steps) {
          now += std::chrono::milliseconds(wait % 1500);
          work.apply(make_report("n" + std::to_string(node % 5), ++sequence, requests, requests),
                     now);
          expected[node % 5] = {requests, now};
          std::uint32_t sum = 0;
          for (const auto& [id, report] : expected) {
            sum += now - report.second <= PeerWork::kReportLifetime ? report.first : 0;
          }
          RC_ASSERT(work.work_at(BackendId("e"), now).requests == sum);
          RC_ASSERT(work.work_at(BackendId("e"), now).pending_prefill_tokens == sum);
        }
      }));
}

TEST_CASE("a relay sends sums, attempts and parts together and does not refresh them") {
  simulation::VirtualTime time;
  PeerWork work;
  std::vector<WorkReport> sent;
  WorkAnnouncer relay(
      time, {.node = NodeId("r"), .incarnation = 7, .batch_window = 40ms, .refresh = false},
      [&](const BackendId& id) { return work.direct_work_at(id, time.now()); },
      [&](const WorkReport& sums) { sent.push_back(sums); });
  for (const char* node : {"a", "b"}) {
    WorkReport report = make_report(node, 1, 2, 300);
    report.engines[0].ended_attempts = 3;
    report.engines[0].failed_attempts = 1;
    report.engines[0].unresponsive = true;
    report.engines[0].prefilled_parts = {77};
    work.apply(report, time.now());
    relay.note_report(report);
  }
  time.run_until(time.now() + 39ms);
  CHECK(sent.empty());
  time.run_until(time.now() + 5s);
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].engines.size() == 1);
  const EngineWork& sum = sent[0].engines[0];
  CHECK(sum.requests == 4);
  CHECK(sum.pending_prefill_tokens == 600);
  CHECK(sum.ended_attempts == 6);
  CHECK(sum.failed_attempts == 2);
  CHECK(sum.unresponsive);
  CHECK(sum.prefilled_parts.size() == 2);
}

TEST_CASE("a report on many engines is split into datagrams of valid size") {
  AnnouncingNode fixture;
  for (int i = 0; i != 770; ++i) {
    const BackendId engine("i-0123456789abcdef" + std::to_string(i));
    fixture.announcer.note_prefilled_parts(
        engine, {~std::uint64_t{1}, ~std::uint64_t{2}, ~std::uint64_t{3}});
  }
  fixture.time.run_until(fixture.time.now() + 10ms);
  std::size_t engines = 0;
  for (const WorkReport& report : fixture.sent) {
    CHECK(wire::encode(report).size() < 8192);
    engines += report.engines.size();
  }
  CHECK(engines >= 770);
}

TEST_CASE("a node batches changes, refreshes ongoing work and stops when it has ended") {
  AnnouncingNode fixture;
  fixture.loads.on_change([&](const BackendId& id) { fixture.announcer.note_change(id); });
  fixture.loads.begin(BackendId("e"), 40);
  fixture.loads.begin(BackendId("e"), 60);
  fixture.time.run_until(fixture.time.now() + 10ms);
  REQUIRE(fixture.sent.size() == 1);
  CHECK(fixture.sent[0].engines[0].requests == 2);
  CHECK(fixture.sent[0].engines[0].pending_prefill_tokens == 100);
  fixture.time.run_until(fixture.time.now() + 1100ms);
  CHECK(fixture.sent.size() == 2);
  fixture.loads.end(BackendId("e"), gateway::AttemptOutcome::kSucceeded, fixture.time.now());
  fixture.loads.end(BackendId("e"), gateway::AttemptOutcome::kSucceeded, fixture.time.now());
  fixture.time.run_until(fixture.time.now() + 10s);
  CHECK(fixture.sent.back().engines[0].requests == 0);
  CHECK(fixture.sent.size() == 3);
}

TEST_CASE("an unresponsive back end is reported once, together with its work") {
  AnnouncingNode fixture;
  fixture.loads.on_change([&](const BackendId& id) { fixture.announcer.note_change(id); });
  fixture.loads.on_unresponsive(
      [&](const BackendId& id) { fixture.announcer.note_unresponsive(id); });
  fixture.loads.begin(BackendId("e"), 0);
  fixture.loads.note_unresponsive(BackendId("e"), fixture.time.now());
  fixture.time.run_until(fixture.time.now() + 10ms);
  fixture.loads.end(BackendId("e"), gateway::AttemptOutcome::kFailed, fixture.time.now());
  fixture.time.run_until(fixture.time.now() + 10ms);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[0].engines[0].unresponsive);
  CHECK_FALSE(fixture.sent[1].engines[0].unresponsive);
}

TEST_CASE("the outcomes of attempts are reported once") {
  AnnouncingNode fixture;
  fixture.loads.on_change([&](const BackendId& id) { fixture.announcer.note_change(id); });
  fixture.loads.on_end(
      [&](const BackendId& id, bool failed) { fixture.announcer.note_attempt_end(id, failed); });
  for (const auto verdict : {gateway::AttemptOutcome::kSucceeded, gateway::AttemptOutcome::kFailed,
                             gateway::AttemptOutcome::kAbandoned}) {
    fixture.loads.begin(BackendId("e"), 0);
    fixture.loads.end(BackendId("e"), verdict, fixture.time.now());
  }
  fixture.time.run_until(fixture.time.now() + 10ms);
  fixture.announcer.note_change(BackendId("e"));
  fixture.time.run_until(fixture.time.now() + 10ms);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[0].engines[0].ended_attempts == 2);
  CHECK(fixture.sent[0].engines[0].failed_attempts == 1);
  CHECK(fixture.sent[1].engines[0].ended_attempts == 0);
}

TEST_CASE("a node that starts is sent all cached parts, in datagrams of valid size") {
  AnnouncingNode fixture;
  for (const char* engine : {"e1", "e2", "e3"}) {
    std::vector<std::uint64_t> keys;
    for (std::uint64_t key = 0; key != 700; ++key) {
      keys.push_back(~key);
    }
    fixture.loads.note_parts(BackendId(engine), keys, fixture.time.now());
  }
  fixture.loads.begin(BackendId("e2"), 40);
  std::map<BackendId, std::set<std::uint64_t>> received;
  std::uint64_t sequence = 0;
  fixture.announcer.send_cached_parts(
      fixture.loads, fixture.time.now() + 1s, [&](const WorkReport& report) {
        CHECK(wire::encode(report).size() < 8192);
        CHECK(report.sequence > sequence);
        sequence = report.sequence;
        for (const EngineWork& work : report.engines) {
          received[work.engine].insert(work.prefilled_parts.begin(), work.prefilled_parts.end());
          CHECK(work.requests == (work.engine == BackendId("e2") ? 1 : 0));
        }
      });
  REQUIRE(received.size() == 3);
  for (const auto& [engine, keys] : received) {
    CHECK(keys.size() == 700);
  }
  // After a minute an engine is assumed to have cached only its last prefills: ten parts besides
  // the last one.
  std::size_t parts = 0;
  fixture.announcer.send_cached_parts(fixture.loads, fixture.time.now() + 60s,
                                      [&](const WorkReport& report) {
                                        for (const EngineWork& work : report.engines) {
                                          CHECK(work.prefilled_parts.size() <= 11);
                                          parts += work.prefilled_parts.size();
                                        }
                                      });
  CHECK(parts == 33);
  std::size_t late = 0;
  fixture.announcer.send_cached_parts(fixture.loads, fixture.time.now() + 121s,
                                      [&](const WorkReport&) { ++late; });
  CHECK(late == 0);
}

TEST_CASE(
    "reports survive a round trip through the codec, and arbitrary bytes do not decode to more "
    "than their size") {
  const WorkReport report = make_report("a", 3, 2, 100);
  const auto read = wire::decode<WorkReport>(wire::encode(report));
  REQUIRE(read);
  CHECK(read.value().engines[0].pending_prefill_tokens == 100);
  CHECK(rc::check([](const std::string& bytes) {
    const auto tried = wire::decode<WorkReport>(bytes);
    if (tried) {
      RC_ASSERT(wire::encode(tried.value()).size() <= bytes.size());
    }
  }));
}

TEST_CASE("a datagram is delivered between two sockets on loopback") {
  http::EventLoop loop;
  std::string received;
  auto receiver = DatagramSocket::bind(loop, Endpoint("127.0.0.1:0"), [&](std::string_view bytes) {
    received = bytes;
    loop.stop();
  });
  REQUIRE(receiver);
  auto sender = DatagramSocket::bind(loop, Endpoint("127.0.0.1:0"), [](std::string_view) {});
  REQUIRE(sender);
  sender.value()->send(receiver.value()->bound(), "hello");
  loop.run();
  CHECK(received == "hello");
}
