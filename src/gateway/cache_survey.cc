#include "gateway/cache_survey.h"

#include <utility>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(800);

}  // namespace

CacheSurvey::CacheSurvey(const Clock& clock, const EngineCalls& engines, const FleetState& fleet,
                         LoadTable& loads, Fetch fetch)
    : clock_(clock), engines_(engines), fleet_(fleet), loads_(loads), fetch_(std::move(fetch)) {}

void CacheSurvey::begin() {
  if (begun_ || fleet_.backends().empty()) {
    return;
  }
  begun_ = true;
  for (const auto& [id, backend] : fleet_.backends()) {
    if (backend.role != EngineRole::kNone && !backend.draining) {
      ask(backend);
    }
  }
}

void CacheSurvey::ask(const Backend& engine) {
  http::ClientRequest request = engines_.list_cached_parts();
  request.endpoint = engine.address;
  request.timeout = kTimeout;
  request.connect_timeout = kTimeout;
  fetch_(std::move(request), [this, id = engine.id](const std::string& body) {
    if (fleet_.find(id) == nullptr) {
      return;
    }
    const MonotonicTime now = clock_.now();
    for (const std::string& part : engines_.read_cached_parts(body)) {
      loads_.of(id).note_cached(stable_hash(part), now);
    }
  });
}

}  // namespace ochrespring::gateway
