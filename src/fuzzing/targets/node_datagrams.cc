// Datagrams as a whole node's news take them, one after the other: anybody can send to its port.
// None may crash, and none may take this node itself out of the directory. An input is datagrams
// behind their lengths, two bytes each.
#include <algorithm>
#include <cstdint>
#include <string_view>

#include "admission/admission_control.h"
#include "engine_profiles/profile_exchange.h"
#include "fuzzing/fuzz_target.h"
#include "gateway_node/peer_exchange.h"
#include "platform/fleet_codec.h"
#include "rate_limit/rate_limiter.h"
#include "simulation/virtual_time.h"

namespace {

using namespace ochrespring;

/// Answers nothing: what datagrams make the watcher ask for never comes.
class SilentStore final : public shared_store::SharedStore {
 public:
  void list(const std::string&, shared_store::StoreCallback<shared_store::Listing>) override {}
  void list_page(const shared_store::PageRequest&,
                 shared_store::StoreCallback<shared_store::ListPage>) override {}
  void changes(const std::string&, shared_store::StoreRevision, Duration,
               shared_store::StoreCallback<shared_store::Changes>) override {}
  void put(const std::string&, const std::string&, std::optional<shared_store::LeaseId>,
           shared_store::StoreCallback<shared_store::StoreRevision>) override {}
  void commit(const shared_store::Transaction&,
              shared_store::StoreCallback<shared_store::StoreRevision>) override {}
  void get(const std::string&, shared_store::StoreCallback<shared_store::Change>) override {}
  void grant_lease(Duration, shared_store::StoreCallback<shared_store::LeaseId>) override {}
  void renew_lease(shared_store::LeaseId,
                   shared_store::StoreCallback<shared_store::LeaseId>) override {}
  void end_lease(shared_store::LeaseId,
                 shared_store::StoreCallback<shared_store::LeaseId>) override {}
};

struct Node {
  simulation::VirtualTime time;
  SeededRandom random{1};
  logging::NullLogger logger;
  platform::PlatformFleetCodec codec;
  SilentStore store;
  gateway::FleetState fleet;
  gateway::LoadTable loads;
  discovery::NodeDirectory nodes{
      time, {NodeId("self"), Endpoint("10.0.0.2:80"), ZoneName("a"), Endpoint("10.0.0.2:81")}};
  discovery::FleetWatcher watcher{{time, time, random, store, codec, logger}, {}, fleet, nodes};
  gateway_node::PeerExchange news{{time, time, random, fleet, loads, nodes, watcher},
                                  {.peer_address = Endpoint("10.0.0.2:81"),
                                   .view_address = Endpoint("10.0.0.2:82"),
                                   .relays = {.min_nodes = 48},
                                   .relay_batch_window = std::chrono::milliseconds(10)},
                                  [](const Endpoint&, std::string_view) {},
                                  [](const Endpoint&) {}};
  rate_limit::RateLimiter limiter{
      {time, time, random, logger, fleet, nodes},
      {.broadcast = [this](const auto& told) { news.broadcast_limits(told); },
       .send = [this](const Endpoint& to, const auto& told) { news.send(to, told); },
       .send_request = [this](const Endpoint& to, const auto& told) { news.send(to, told); },
       .send_reply = [this](const Endpoint& to, const auto& told) { news.send(to, told); }}};

  admission::AdmissionControl admission{
      {time, random, logger, fleet, loads, limiter},
      [this](const admission::BackendNotice& notice) { news.broadcast_notice(notice); }};
  engine_profiles::EngineProfileTable profiles{fleet, logger};
  engine_profiles::ProfileExchange exchange{
      {time, time, random, profiles},
      NodeId("self"),
      {.broadcast = [this](const auto& told) { news.broadcast_profiles(told); },
       .send_to_zone = [this](const auto& told) { news.broadcast_profiles_to_zone(told); }}};

  Node() {
    nodes.put({NodeId("other"), Endpoint("10.0.0.3:80"), ZoneName("a"), Endpoint("10.0.0.3:81")});
    gateway::Backend server;
    server.id = gateway::BackendId("s");
    fleet.put(server);
    gateway::Backend engine;
    engine.id = gateway::BackendId("i-7f3a91c2@1787834510949");
    engine.role = gateway::EngineRole::kDecode;
    fleet.put(engine);
    news.on_limits({.receive = [this](const auto& told) { limiter.receive(told); },
                    .receive_request = [this](const auto& told) { limiter.receive(told); },
                    .receive_reply = [this](const auto& told) { limiter.receive(told); },
                    .send_all = [this](const auto& send) { limiter.send_all(send); }});
    news.on_notices({.receive = [this](const auto& told) { admission.receive(told); },
                     .send_all = [this](const auto& send) { admission.send_all(send); }});
    news.on_profiles(
        {.receive = [this](const auto& told) { exchange.receive(told); },
         .receive_for_relay = [this](const auto& told) { exchange.receive_for_relay(told); },
         .receive_relayed = [this](const auto& told) { exchange.receive(told); },
         .send_all = [this](const auto& send) { exchange.send_all(send); }});
    exchange.start();
  }
  /// A request that waits for leave to go to the server while datagrams come.
  void claim() {
    admission.claim(gateway::BackendId("s"), 1, [](bool) {});
  }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::size_t kLengthBytes = 2;
  constexpr std::size_t kMostDatagrams = 64;
  Node node;
  std::string_view rest = fuzzing::text_of(data, size);
  for (std::size_t sent = 0; sent != kMostDatagrams && rest.size() >= kLengthBytes; ++sent) {
    const auto high = static_cast<std::uint8_t>(rest[0]);
    const auto low = static_cast<std::uint8_t>(rest[1]);
    const std::size_t length = high * 256U + low;
    rest.remove_prefix(kLengthBytes);
    node.news.receive(rest.substr(0, length));
    rest.remove_prefix(std::min(length, rest.size()));
    node.claim();
    node.time.run_until(node.time.now() + std::chrono::milliseconds(5));
  }
  const auto named = node.nodes.list();
  fuzzing::require(!named.empty() && named.front().node == node.nodes.self().node);
  return 0;
}
