#include "gateway/cache_survey.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(800);

/// Returns the node that queries this engine, the same on all nodes. `nodes` must not be empty.
const NodeId& assigned_node(const BackendId& engine, const std::vector<NodeId>& nodes) {
  return *std::max_element(nodes.begin(), nodes.end(),
                           [&](const NodeId& left, const NodeId& right) {
                             return rendezvous_weight(engine.value(), left.value()) <
                                    rendezvous_weight(engine.value(), right.value());
                           });
}

}  // namespace

CacheSurvey::CacheSurvey(const Clock& clock, const EngineCalls& engines, const FleetState& fleet,
                         LoadTable& loads, Fetch fetch)
    : clock_(clock), engines_(engines), fleet_(fleet), loads_(loads), fetch_(std::move(fetch)) {}

void CacheSurvey::begin(const NodeId& self, const std::vector<NodeId>& nodes) {
  if (begun_ || fleet_.backends().empty()) {
    return;
  }
  begun_ = true;
  for (const auto& [id, backend] : fleet_.backends()) {
    if (backend.role != EngineRole::kNone && !fleet_.is_leaving(backend) &&
        assigned_node(id, nodes) == self) {
      query(backend);
    }
  }
}

void CacheSurvey::query(const Backend& engine) {
  http::ClientRequest request = engines_.list_cached_parts();
  request.endpoint = engine.address;
  request.timeout = kTimeout;
  request.connect_timeout = kTimeout;
  // A listing that was cut short cannot be parsed, so a close is accepted as its end.
  request.close_ends_answer = true;
  fetch_(engine.id, std::move(request), [this, id = engine.id](const std::string& body) {
    if (fleet_.find(id) == nullptr) {
      return;
    }
    std::vector<std::uint64_t> keys;
    for (const std::string& part : engines_.parse_cached_parts(body)) {
      keys.push_back(stable_hash(part));
    }
    loads_.note_parts(id, keys, clock_.now());
  });
}

}  // namespace ochrespring::gateway
