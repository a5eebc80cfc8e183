// What nodes believe of each other's work, with datagrams lost, late and doubled.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

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

}  // namespace

TEST_CASE("the work of several nodes adds up, and the newest report of each counts") {
  PeerWork work;
  const MonotonicTime now{};
  work.apply(make_report("a", 1, 2, 100), now);
  work.apply(make_report("b", 1, 1, 50), now);
  work.apply(make_report("a", 3, 1, 30), now);
  work.apply(make_report("a", 2, 9, 900), now);
  CHECK(work.work_at(BackendId("e"), now).requests == 2);
  CHECK(work.work_at(BackendId("e"), now).unread_tokens == 80);
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

TEST_CASE("a node announces changes together, repeats what is not over, and then is quiet") {
  simulation::VirtualTime time;
  gateway::LoadTable loads;
  std::vector<WorkReport> sent;
  WorkAnnouncer announcer(time, loads, NodeId("a"), 7,
                          [&](const WorkReport& report) { sent.push_back(report); });
  loads.on_change([&](const BackendId& id) { announcer.note_change(id); });
  loads.begin(BackendId("e"), 40);
  loads.begin(BackendId("e"), 60);
  time.run_until(time.now() + 10ms);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].engines[0].requests == 2);
  CHECK(sent[0].engines[0].unread_tokens == 100);
  time.run_until(time.now() + 1100ms);
  CHECK(sent.size() == 2);
  loads.end(BackendId("e"), gateway::AttemptVerdict::kGood, time.now());
  loads.end(BackendId("e"), gateway::AttemptVerdict::kGood, time.now());
  time.run_until(time.now() + 10s);
  CHECK(sent.back().engines[0].requests == 0);
  CHECK(sent.size() == 3);
}

TEST_CASE("a silent back end is told once, with its work") {
  simulation::VirtualTime time;
  gateway::LoadTable loads;
  std::vector<WorkReport> sent;
  WorkAnnouncer announcer(time, loads, NodeId("a"), 7,
                          [&](const WorkReport& report) { sent.push_back(report); });
  loads.on_change([&](const BackendId& id) { announcer.note_change(id); });
  loads.on_silence([&](const BackendId& id) { announcer.note_silence(id); });
  loads.begin(BackendId("e"), 0);
  loads.note_silence(BackendId("e"), time.now());
  time.run_until(time.now() + 10ms);
  loads.end(BackendId("e"), gateway::AttemptVerdict::kFailed, time.now());
  time.run_until(time.now() + 10ms);
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].engines[0].silent);
  CHECK_FALSE(sent[1].engines[0].silent);
}

TEST_CASE("how attempts ended is told once") {
  simulation::VirtualTime time;
  gateway::LoadTable loads;
  std::vector<WorkReport> sent;
  WorkAnnouncer announcer(time, loads, NodeId("a"), 7,
                          [&](const WorkReport& report) { sent.push_back(report); });
  loads.on_change([&](const BackendId& id) { announcer.note_change(id); });
  loads.on_end([&](const BackendId& id, bool failed) { announcer.note_end(id, failed); });
  for (const auto verdict : {gateway::AttemptVerdict::kGood, gateway::AttemptVerdict::kFailed,
                             gateway::AttemptVerdict::kAbandoned}) {
    loads.begin(BackendId("e"), 0);
    loads.end(BackendId("e"), verdict, time.now());
  }
  time.run_until(time.now() + 10ms);
  announcer.note_change(BackendId("e"));
  time.run_until(time.now() + 10ms);
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].engines[0].ended == 2);
  CHECK(sent[0].engines[0].failed == 1);
  CHECK(sent[1].engines[0].ended == 0);
}

TEST_CASE("a node that starts is told all parts, in datagrams that others can take") {
  simulation::VirtualTime time;
  gateway::LoadTable loads;
  WorkAnnouncer announcer(time, loads, NodeId("a"), 7, [](const WorkReport&) {});
  for (const char* engine : {"e1", "e2", "e3"}) {
    std::vector<std::uint64_t> keys;
    for (std::uint64_t key = 0; key != 700; ++key) {
      keys.push_back(~key);
    }
    loads.note_parts(BackendId(engine), keys, time.now());
  }
  loads.begin(BackendId("e2"), 40);
  std::map<BackendId, std::set<std::uint64_t>> told;
  std::uint64_t sequence = 0;
  announcer.tell_all(time.now() + 1s, [&](const WorkReport& report) {
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
  std::size_t late = 0;
  announcer.tell_all(time.now() + 60s, [&](const WorkReport&) { ++late; });
  CHECK(late == 0);
}

TEST_CASE("reports survive their encoding, and arbitrary bytes are refused") {
  const WorkReport report = make_report("a", 3, 2, 100);
  const auto read = wire::decode<WorkReport>(wire::encode(report));
  REQUIRE(read);
  CHECK(read.value().engines[0].unread_tokens == 100);
  rc::check([](const std::string& bytes) {
    const auto tried = wire::decode<WorkReport>(bytes);
    if (tried) {
      RC_ASSERT(wire::encode(tried.value()).size() <= bytes.size());
    }
  });
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
