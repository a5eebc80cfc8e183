#include "gateway/backend_request.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "gateway/backend_incarnation.h"
#include "gateway/header_rules.h"

namespace ochrespring::gateway {

namespace {

using std::chrono::milliseconds;

/// A back end in the same network that takes longer to accept a connection is treated as
/// unreachable.
constexpr Duration kConnectTimeout = milliseconds(400);
/// Engines accept priorities 0 to 9. Each of the three route priorities is split by the tokens to
/// prefill at these bounds, which uses 0 to 8.
constexpr std::uint32_t kRouteRankCount = 3;
constexpr std::array<std::uint64_t, 2> kPromptSizeBounds{3'000, 10'000};

void set_header(std::vector<http::Header>& headers, const std::string& name, std::string value) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&](const http::Header& header) { return header.name == name; });
  if (found != headers.end()) {
    found->value = std::move(value);
  } else {
    headers.push_back({name, std::move(value)});
  }
}

}  // namespace

std::uint32_t engine_priority(std::uint32_t priority, std::uint64_t prefill_tokens) {
  std::uint32_t size = 0;
  for (const std::uint64_t bound : kPromptSizeBounds) {
    size += prefill_tokens > bound ? 1 : 0;
  }
  const std::uint32_t rank = std::min(priority, kRouteRankCount - 1);
  return rank * static_cast<std::uint32_t>(kPromptSizeBounds.size() + 1) + size;
}

http::ClientRequest make_backend_request(const http::Request& request, const HeaderNames& names,
                                         const BackendCall& call) {
  http::ClientRequest outgoing;
  outgoing.endpoint = call.backend->address;
  outgoing.method = request.method;
  outgoing.path = request.query.empty() ? request.path : request.path + "?" + request.query;
  outgoing.headers = headers_for_backend(request.headers, names);
  const auto left = std::chrono::duration_cast<milliseconds>(call.time_left).count();
  set_header(outgoing.headers, names.deadline, std::to_string(left));
  set_header(outgoing.headers, names.expected_instance,
             std::string(backend_name(call.backend->id)));
  if (call.tenant != nullptr) {
    set_header(outgoing.headers, names.tenant, call.tenant->name.value());
  }
  if (call.priority) {
    set_header(outgoing.headers, names.priority, std::to_string(*call.priority));
  }
  if (call.prefill) {
    set_header(outgoing.headers, names.phase, names.phase_prefill);
  }
  if (call.resumed_run) {
    set_header(outgoing.headers, names.cache_source,
               call.resumed_run->runner.value() + "/" + call.resumed_run->request_id);
  } else if (call.cache) {
    set_header(outgoing.headers, names.cache_source,
               call.cache->address.value() + "/" + call.cache->handle);
  }
  if (call.cache_source) {
    set_header(outgoing.headers, names.cache_fetch, call.cache_source->value());
  }
  if (call.cache_backup) {
    set_header(outgoing.headers, names.cache_backup, call.cache_backup->value());
  }
  if (call.resume_after_event) {
    set_header(outgoing.headers, names.last_event, std::to_string(*call.resume_after_event));
  }
  outgoing.body = request.body;
  outgoing.timeout = call.time_left;
  outgoing.connect_timeout = std::min(kConnectTimeout, call.time_left);
  outgoing.max_idle_connections = call.max_idle_connections;
  outgoing.close_ends_answer = true;
  outgoing.echo = http::Header{names.request_id,
                               std::string(http::find_header(request.headers, names.request_id))};
  return outgoing;
}

}  // namespace ochrespring::gateway
