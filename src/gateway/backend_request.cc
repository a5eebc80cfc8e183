#include "gateway/backend_request.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gateway/header_rules.h"

namespace ochrespring::gateway {

namespace {

using std::chrono::milliseconds;

/// A back end in our own network that takes longer to accept is as good as gone.
constexpr Duration kConnectTimeout = milliseconds(400);
/// Engines know ten priorities. One for what takes next to no time; three ranks of routes, each
/// with long prompts before others; and three for what is late.
constexpr std::uint32_t kMostRanks = 3;
constexpr std::uint32_t kFirstUrgent = 1;
constexpr std::uint32_t kFirstLate = kFirstUrgent + 2 * kMostRanks;
/// Reading time, in parts of the objective, that is next to nothing, and that makes a prompt a long
/// one.
constexpr double kTinyShare = 0.03;
constexpr double kLongShare = 0.25;

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

std::uint32_t engine_priority(std::uint32_t route_priority, bool urgent, double reading_share) {
  const std::uint32_t rank = std::min(route_priority, kMostRanks - 1);
  if (reading_share < kTinyShare) {
    return 0;
  }
  if (!urgent) {
    return kFirstLate + rank;
  }
  return kFirstUrgent + 2 * rank + (reading_share > kLongShare ? 1 : 0);
}

http::ClientRequest make_backend_request(const http::Request& request, const HeaderNames& names,
                                         const BackendCall& call) {
  http::ClientRequest sent;
  sent.endpoint = call.backend->address;
  sent.method = request.method;
  sent.path = request.query.empty() ? request.path : request.path + "?" + request.query;
  sent.headers = headers_for_backend(request.headers, names);
  const auto left = std::chrono::duration_cast<milliseconds>(call.left).count();
  set_header(sent.headers, names.deadline, std::to_string(left));
  set_header(sent.headers, names.expected_instance, call.backend->id.value());
  if (call.priority) {
    set_header(sent.headers, names.priority, std::to_string(*call.priority));
  }
  if (call.prefill) {
    set_header(sent.headers, names.phase, names.phase_prefill);
  }
  if (call.cache) {
    set_header(sent.headers, names.cache_source,
               call.cache->address.value() + "/" + call.cache->handle);
  }
  if (call.cache_source) {
    set_header(sent.headers, names.cache_fetch, call.cache_source->value());
  }
  if (call.resumes_after) {
    set_header(sent.headers, names.last_event, std::to_string(*call.resumes_after));
  }
  sent.body = request.body;
  sent.timeout = call.left;
  sent.connect_timeout = std::min(kConnectTimeout, call.left);
  sent.most_idle = call.most_idle;
  sent.close_ends_answer = true;
  sent.echo = http::Header{names.request_id,
                           std::string(http::find_header(request.headers, names.request_id))};
  return sent;
}

}  // namespace ochrespring::gateway
