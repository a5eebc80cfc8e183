#include "http/caller_guard.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <unordered_set>
#include <utility>

#include "http/caller_guard_state.h"
#include "http/http2_streams.h"
#include "http/response_stream.h"

namespace ochrespring::http {

namespace {

/// Evictions free this part of the limit, so that a crowd does not make each read evict.
constexpr std::size_t kFreedDivisor = 8;
constexpr std::uint64_t kReportPeriodMilliseconds = 1000;
/// Retry-After lies between this many seconds and as much more.
constexpr double kMinRetryAfter = 0.5;
/// Its multiples are spread evenly over the unit interval, however many are drawn.
constexpr double kGoldenRatio = 0.618033988749895;

std::size_t default_connections() {
  rlimit descriptors{};
  const bool known = ::getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
  return known ? std::min<std::size_t>(kMaxConnections, descriptors.rlim_cur / 8 * 3)
               : kMaxConnections;
}

std::string make_rejection(double retry_after) {
  return "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: "
         "0\r\nretry-after: " +
         std::to_string(retry_after) + "\r\n\r\n";
}

}  // namespace

std::string_view describe(CallerLimit limit) {
  return limit == CallerLimit::kMemory ? "memory" : "connections";
}

/// One incomplete request, or one answer that is not read. Only one of the pointers is set.
struct CallerGuard::State::Candidate {
  double cost = 0;
  std::size_t bytes = 0;
  GuardedConnection* connection = nullptr;  ///< With an incomplete HTTP/1 request.
  h2o_req_t* request = nullptr;             ///< Of an unhandled HTTP/2 stream.
  ResponseStream* answer = nullptr;
};

CallerGuard::State::State(EventLoop& event_loop, CallerLimits limits)
    : loop(event_loop),
      account(std::make_shared<MemoryAccount>(limits.memory_bytes)),
      max_connections(limits.connections != 0 ? limits.connections : default_connections()),
      lingering(event_loop) {}

GuardedConnection& CallerGuard::State::adopt(h2o_socket_t* socket) {
  const GuardedConnection::Owner owner{
      .object = this,
      .on_activity = [](void* state) { static_cast<State*>(state)->enforce(); },
      .on_closed =
          [](void* state, GuardedConnection& connection) {
            static_cast<State*>(state)->connections.erase(&connection);
          },
      .on_answered =
          [](void* state, int descriptor) {
            static_cast<State*>(state)->lingering.close(descriptor);
          },
  };
  auto connection = std::make_unique<GuardedConnection>(owner, account, socket);
  GuardedConnection& adopted = *connection;
  connections.emplace(&adopted, std::move(connection));
  return adopted;
}

bool CallerGuard::State::make_room() {
  while (connections.size() + lingering.size() >= max_connections) {
    report(CallerLimit::kConnections);
    if (lingering.close_oldest()) {
      ++statistics.connections_closed;
      continue;
    }
    GuardedConnection* connection = least_useful();
    if (connection == nullptr) {
      ++statistics.connections_refused;
      return false;
    }
    ++statistics.connections_closed;
    const std::size_t before = connections.size();
    connection->end({});
    if (connections.size() == before) {
      return false;  // It closes in the next iteration of the loop.
    }
  }
  return true;
}

/// Of the connections with the least useful use, the one that has been idle longest; null if all
/// are busy.
GuardedConnection* CallerGuard::State::least_useful() const {
  const auto rank = [](const GuardedConnection& connection) {
    return std::pair(connection.use(), -connection.idle_time());
  };
  GuardedConnection* found = nullptr;
  for (const auto& [connection, owned] : connections) {
    if (connection->use() != ConnectionUse::kBusy &&
        (found == nullptr || rank(*connection) < rank(*found))) {
      found = connection;
    }
  }
  return found;
}

bool CallerGuard::State::admits(std::size_t bytes) {
  const bool has_place = account->accepted_requests() < max_connections;
  if (has_place && account->admits(bytes)) {
    return true;
  }
  ++statistics.requests_rejected;
  report(has_place ? CallerLimit::kMemory : CallerLimit::kConnections);
  return false;
}

double CallerGuard::State::retry_after() {
  retry_spread = std::fmod(retry_spread + kGoldenRatio, 1.0);
  return kMinRetryAfter * (1.0 + retry_spread);
}

void CallerGuard::State::enforce() {
  if (!account->exceeded()) {
    return;
  }
  std::vector<Candidate> candidates = collect();
  if (!account->exceeded()) {
    return;  // What HTTP/2 streams hold had been overestimated.
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) { return left.cost > right.cost; });
  const std::size_t target = account->limit() - account->limit() / kFreedDivisor;
  for (const Candidate& candidate : candidates) {
    if (account->total() <= target) {
      break;
    }
    evict(candidate);
  }
  report(CallerLimit::kMemory);
}

std::vector<CallerGuard::State::Candidate> CallerGuard::State::collect() {
  std::vector<Candidate> candidates;
  for (const auto& [connection, owned] : connections) {
    const auto occupancy = connection->incomplete_request();
    if (occupancy && occupancy->bytes != 0) {
      candidates.push_back({eviction_cost(*occupancy), occupancy->bytes, connection});
    }
    for (ResponseStream* answer : connection->streams()) {
      if (answer->is_stalled()) {
        const Occupancy unread = answer->unread();
        candidates.push_back(
            {.cost = eviction_cost(unread), .bytes = unread.bytes, .answer = answer});
      }
    }
  }
  collect_http2(candidates);
  return candidates;
}

/// Also sets what each HTTP/2 connection holds.
void CallerGuard::State::collect_http2(std::vector<Candidate>& candidates) {
  std::unordered_map<const h2o_conn_t*, std::pair<GuardedConnection*, std::size_t>> by_connection;
  std::unordered_set<h2o_context_t*> servers;
  for (const auto& [connection, owned] : connections) {
    if (const h2o_conn_t* http2 = connection->http2()) {
      by_connection.emplace(http2, std::pair(connection, std::size_t{0}));
      servers.insert(http2->ctx);
    }
  }
  for (h2o_context_t* server : servers) {
    visit_unhandled_streams(*server, [&](const UnhandledStream& stream) {
      const auto found = by_connection.find(stream.request->conn);
      if (found == by_connection.end()) {
        return;
      }
      auto& [connection, bytes] = found->second;
      bytes += stream.bytes;
      const Occupancy occupancy{stream.bytes, stream.age, connection->idle_time()};
      candidates.push_back(
          {.cost = eviction_cost(occupancy), .bytes = stream.bytes, .request = stream.request});
    });
  }
  for (const auto& [http2, held] : by_connection) {
    held.first->set_unhandled_bytes(held.second);
  }
}

void CallerGuard::State::evict(const Candidate& candidate) {
  if (candidate.answer != nullptr) {
    ++statistics.answers_abandoned;
    candidate.answer->abandon();
    return;
  }
  ++statistics.requests_evicted;
  if (candidate.request != nullptr) {
    GuardedConnection& connection = GuardedConnection::of(
        candidate.request->conn->callbacks->get_socket(candidate.request->conn));
    refuse_stream(*candidate.request);
    connection.note_refused(candidate.bytes);
    return;
  }
  const int descriptor = candidate.connection->end(make_rejection(retry_after()));
  if (descriptor >= 0) {
    lingering.close(descriptor);
  }
}

void CallerGuard::State::report(CallerLimit limit) {
  const std::uint64_t now = h2o_now(loop.native());
  if (limit_callback && now - reported_at >= kReportPeriodMilliseconds) {
    reported_at = now;
    limit_callback(limit);
  }
}

CallerGuard::CallerGuard(EventLoop& loop, CallerLimits limits)
    : state_(std::make_unique<State>(loop, limits)) {}

CallerGuard::~CallerGuard() = default;

MemoryAccount& CallerGuard::account() {
  return *state_->account;
}

const MemoryAccount& CallerGuard::account() const {
  return *state_->account;
}

const CallerGuardStatistics& CallerGuard::statistics() const {
  return state_->statistics;
}

std::size_t CallerGuard::connections() const {
  return state_->connections.size() + state_->lingering.size();
}

std::size_t CallerGuard::max_connections() const {
  return state_->max_connections;
}

void CallerGuard::on_limit(std::function<void(CallerLimit)> callback) {
  state_->limit_callback = std::move(callback);
}

}  // namespace ochrespring::http
