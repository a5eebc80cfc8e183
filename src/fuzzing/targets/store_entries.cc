// Entries of the shared store, which others write as well: whatever one of them holds, the view of
// the others is the same, and the last good configuration stays in force. The first byte picks
// whose entry it is.
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "discovery/view_writer.h"
#include "fuzzing/fuzz_target.h"
#include "platform/fleet_codec.h"
#include "wire/codec.h"

namespace {

using namespace ochrespring;

constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"idempotent",)"
    R"("timeoutMs":1000,"service":"s","maxAttempts":2}],)"
    R"("services":[{"name":"s","maxConnections":10}],"limits":{"idleTimeoutMs":5000}})";
constexpr const char* kServer =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","born":17})";
constexpr std::uint64_t kListedAt = 10;

discovery::NodeRecord make_node(const char* name) {
  return {NodeId(name), Endpoint("10.0.0.2:80"), ZoneName("a"), Endpoint("10.0.0.2:81"), 0, {}};
}

/// A view of one good entry of each kind.
struct View {
  SystemClock clock;
  logging::NullLogger logger;
  platform::PlatformFleetCodec codec;
  gateway::FleetState fleet;
  discovery::NodeDirectory nodes{clock, make_node("self")};
  discovery::ViewWriter writer{clock, codec, logger, fleet, nodes};

  std::vector<shared_store::Change> good_entries() const {
    const discovery::StoreLayout& layout = codec.layout();
    const shared_store::StoreRevision written(kListedAt - 1);
    return {{layout.configuration_key, kConfiguration, written},
            {layout.node_prefix + "good", wire::encode(make_node("good")), written},
            {layout.backend_prefix + "good", kServer, written}};
  }
  void list(std::vector<shared_store::Change> items, std::uint64_t at) {
    writer.take_listing({std::move(items), shared_store::StoreRevision(at)});
  }
  void require_good() const {
    fuzzing::require(fleet.routes() != nullptr);
    fuzzing::require(fleet.incarnations_of("good").size() == 1);
    fuzzing::require(nodes.others().contains(NodeId("good")));
  }
};

std::string key_of(const discovery::StoreLayout& layout, std::uint8_t kind) {
  const std::array<std::string, 4> keys{layout.backend_prefix + "other",
                                        layout.node_prefix + "other", layout.configuration_key,
                                        layout.duty_prefix + "other"};
  return keys[kind % keys.size()];
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string value(fuzzing::text_of(data + 1, size - 1));
  View view;
  const shared_store::Change entry{key_of(view.codec.layout(), data[0]), value,
                                   shared_store::StoreRevision(kListedAt + 1)};
  // As a change behind a good listing.
  view.list(view.good_entries(), kListedAt);
  view.require_good();
  view.writer.take_changes({{entry}});
  view.require_good();
  // In the listing itself.
  auto items = view.good_entries();
  items.push_back(entry);
  view.list(items, kListedAt + 2);
  view.require_good();
  // And gone again.
  view.list(view.good_entries(), kListedAt + 3);
  view.require_good();
  fuzzing::require(view.fleet.backends().size() == 1);
  fuzzing::require(view.nodes.others().size() == 1);
  return 0;
}
