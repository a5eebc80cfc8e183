// What nodes believe of each other's work, with datagrams lost, late and doubled.
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
            .unread_tokens = tokens,
            .parts_read = {}}}};
}

/// A node and what it announces of its own work.
struct AnnouncingNode {
  simulation::VirtualTime time;
  gateway::LoadTable loads;
  std::vector<WorkReport> sent;
  WorkAnnouncer announcer{time,
                          {.node = NodeId("a"), .life = 7},
                          [this](const BackendId& id) { return loads.own(id); },
                          [this](const WorkReport& report) { sent.push_back(report); }};
};

}  // namespace

TEST_CASE("the work of several nodes adds up, and the newest report of each counts") {
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

TEST_CASE("work of a node that falls silent is forgotten; a new life begins anew") {
  PeerWork work;
  MonotonicTime now{};
  work.apply(make_report("a", 50, 2, 100), now);
  CHECK(work.work_at(BackendId("e"), now + 2s).requests == 2);
  CHECK(work.work_at(BackendId("e"), now + 3s).requests == 0);
  WorkReport reborn = make_report("a", 1, 1, 10);
  reborn.life = 2;
  work.apply(reborn, now);
  CHECK(work.work_at(BackendId("e"), now).requests == 1);
}

TEST_CASE("of what a relay adds up, this node's own work is not that of others") {
  gateway::LoadTable loads;
  PeerWork work([&](const BackendId& engine) { return loads.own(engine); });
  const MonotonicTime now{};
  loads.begin(BackendId("e"), 100);
  work.apply_relayed(make_report("relay", 1, 3, 700), now);
  CHECK(work.work_at(BackendId("e"), now).requests == 2);
  CHECK(work.work_at(BackendId("e"), now).pending_prefill_tokens == 600);
  // The sum may be older than what began here since.
  work.apply_relayed(make_report("relay", 2, 0, 0), now);
  CHECK(work.work_at(BackendId("e"), now).requests == 0);
  CHECK(work.work_at(BackendId("e"), now).pending_prefill_tokens == 0);
}

TEST_CASE("a relay's sums are forgotten when relays fall silent; what a node tells itself counts") {
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

TEST_CASE("sums of direct reports are those of the newest report of each living node") {
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
          for (const auto& [id, told] : expected) {
            sum += now - told.second <= PeerWork::kBelief ? told.first : 0;
          }
          RC_ASSERT(work.work_at(BackendId("e"), now).requests == sum);
          RC_ASSERT(work.work_at(BackendId("e"), now).pending_prefill_tokens == sum);
        }
      }));
}

TEST_CASE("a relay tells sums, ends and parts together, and repeats nothing by itself") {
  simulation::VirtualTime time;
  PeerWork work;
  std::vector<WorkReport> sent;
  WorkAnnouncer relay(
      time, {.node = NodeId("r"), .life = 7, .gather = 40ms, .repeat = false},
      [&](const BackendId& id) { return work.direct_work_at(id, time.now()); },
      [&](const WorkReport& sums) { sent.push_back(sums); });
  for (const char* node : {"a", "b"}) {
    WorkReport report = make_report(node, 1, 2, 300);
    report.engines[0].ended = 3;
    report.engines[0].failed = 1;
    report.engines[0].silent = true;
    report.engines[0].parts_read = {77};
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
  CHECK(sum.unread_tokens == 600);
  CHECK(sum.ended == 6);
  CHECK(sum.failed == 2);
  CHECK(sum.silent);
  CHECK(sum.parts_read.size() == 2);
}

TEST_CASE("a report on very many engines goes out in datagrams that others can take") {
  AnnouncingNode world;
  for (int i = 0; i != 770; ++i) {
    const BackendId engine("i-0123456789abcdef" + std::to_string(i));
    world.announcer.note_parts(engine, {~std::uint64_t{1}, ~std::uint64_t{2}, ~std::uint64_t{3}});
  }
  world.time.run_until(world.time.now() + 10ms);
  std::size_t engines = 0;
  for (const WorkReport& report : world.sent) {
    CHECK(wire::encode(report).size() < 8192);
    engines += report.engines.size();
  }
  CHECK(engines >= 770);
}

TEST_CASE("a node announces changes together, repeats what is not over, and then is quiet") {
  AnnouncingNode world;
  world.loads.on_change([&](const BackendId& id) { world.announcer.note_change(id); });
  world.loads.begin(BackendId("e"), 40);
  world.loads.begin(BackendId("e"), 60);
  world.time.run_until(world.time.now() + 10ms);
  REQUIRE(world.sent.size() == 1);
  CHECK(world.sent[0].engines[0].requests == 2);
  CHECK(world.sent[0].engines[0].unread_tokens == 100);
  world.time.run_until(world.time.now() + 1100ms);
  CHECK(world.sent.size() == 2);
  world.loads.end(BackendId("e"), gateway::AttemptOutcome::kSucceeded, world.time.now());
  world.loads.end(BackendId("e"), gateway::AttemptOutcome::kSucceeded, world.time.now());
  world.time.run_until(world.time.now() + 10s);
  CHECK(world.sent.back().engines[0].requests == 0);
  CHECK(world.sent.size() == 3);
}

TEST_CASE("a silent back end is told once, with its work") {
  AnnouncingNode world;
  world.loads.on_change([&](const BackendId& id) { world.announcer.note_change(id); });
  world.loads.on_unresponsive([&](const BackendId& id) { world.announcer.note_silence(id); });
  world.loads.begin(BackendId("e"), 0);
  world.loads.note_unresponsive(BackendId("e"), world.time.now());
  world.time.run_until(world.time.now() + 10ms);
  world.loads.end(BackendId("e"), gateway::AttemptOutcome::kFailed, world.time.now());
  world.time.run_until(world.time.now() + 10ms);
  REQUIRE(world.sent.size() == 2);
  CHECK(world.sent[0].engines[0].silent);
  CHECK_FALSE(world.sent[1].engines[0].silent);
}

TEST_CASE("how attempts ended is told once") {
  AnnouncingNode world;
  world.loads.on_change([&](const BackendId& id) { world.announcer.note_change(id); });
  world.loads.on_end(
      [&](const BackendId& id, bool failed) { world.announcer.note_end(id, failed); });
  for (const auto verdict : {gateway::AttemptOutcome::kSucceeded, gateway::AttemptOutcome::kFailed,
                             gateway::AttemptOutcome::kAbandoned}) {
    world.loads.begin(BackendId("e"), 0);
    world.loads.end(BackendId("e"), verdict, world.time.now());
  }
  world.time.run_until(world.time.now() + 10ms);
  world.announcer.note_change(BackendId("e"));
  world.time.run_until(world.time.now() + 10ms);
  REQUIRE(world.sent.size() == 2);
  CHECK(world.sent[0].engines[0].ended == 2);
  CHECK(world.sent[0].engines[0].failed == 1);
  CHECK(world.sent[1].engines[0].ended == 0);
}

TEST_CASE("a node that starts is told all parts, in datagrams that others can take") {
  AnnouncingNode world;
  for (const char* engine : {"e1", "e2", "e3"}) {
    std::vector<std::uint64_t> keys;
    for (std::uint64_t key = 0; key != 700; ++key) {
      keys.push_back(~key);
    }
    world.loads.note_parts(BackendId(engine), keys, world.time.now());
  }
  world.loads.begin(BackendId("e2"), 40);
  std::map<BackendId, std::set<std::uint64_t>> told;
  std::uint64_t sequence = 0;
  world.announcer.tell_all(world.loads, world.time.now() + 1s, [&](const WorkReport& report) {
    CHECK(wire::encode(report).size() < 8192);
    CHECK(report.sequence > sequence);
    sequence = report.sequence;
    for (const EngineWork& work : report.engines) {
      told[work.engine].insert(work.parts_read.begin(), work.parts_read.end());
      CHECK(work.requests == (work.engine == BackendId("e2") ? 1 : 0));
    }
  });
  REQUIRE(told.size() == 3);
  for (const auto& [engine, keys] : told) {
    CHECK(keys.size() == 700);
  }
  // After a minute an engine is believed to keep what it read last: ten parts besides that one.
  std::size_t parts = 0;
  world.announcer.tell_all(world.loads, world.time.now() + 60s, [&](const WorkReport& report) {
    for (const EngineWork& work : report.engines) {
      CHECK(work.parts_read.size() <= 11);
      parts += work.parts_read.size();
    }
  });
  CHECK(parts == 33);
  std::size_t late = 0;
  world.announcer.tell_all(world.loads, world.time.now() + 121s,
                           [&](const WorkReport&) { ++late; });
  CHECK(late == 0);
}

TEST_CASE("reports survive their encoding, and arbitrary bytes are refused") {
  const WorkReport report = make_report("a", 3, 2, 100);
  const auto read = wire::decode<WorkReport>(wire::encode(report));
  REQUIRE(read);
  CHECK(read.value().engines[0].unread_tokens == 100);
  CHECK(rc::check([](const std::string& bytes) {
    const auto tried = wire::decode<WorkReport>(bytes);
    if (tried) {
      RC_ASSERT(wire::encode(tried.value()).size() <= bytes.size());
    }
  }));
}

TEST_CASE("datagrams pass between sockets on loopback") {
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
