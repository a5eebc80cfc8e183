#include "digest/server_poller.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace ochrespring::digest {

namespace {

constexpr Duration kAnswerTimeout = std::chrono::seconds(3);
constexpr std::size_t kSlowRepeats = 3;
constexpr std::size_t kFullSlowTurn = 8;  // Rounds between unchanged slow figures.
constexpr std::size_t kCoarseSlowTurn = 16;
constexpr int kRateCodesApart = 3;  // Rates differ by a few per cent from round to round.

bool rates_close(std::uint8_t left, std::uint8_t right) {
  return std::abs(static_cast<int>(left) - static_cast<int>(right)) < kRateCodesApart;
}

bool alike(const SlowFigures& left, const SlowFigures& right) {
  return left.incarnation == right.incarnation && left.capacity == right.capacity &&
         left.chunk == right.chunk && rates_close(left.prefill_rate, right.prefill_rate) &&
         rates_close(left.decode_rate, right.decode_rate);
}

std::uint16_t milliseconds(Duration age) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(count, 0, UINT16_MAX));
}

}  // namespace

ServerPoller::ServerPoller(external::EngineControl& engines, NodeId self, Sink sink)
    : engines_(engines),
      poller_(static_cast<std::uint8_t>(stable_hash(self.value()))),
      sink_(std::move(sink)) {}

void ServerPoller::set_servers(std::vector<ServerLayout> servers) {
  std::map<std::uint32_t, std::shared_ptr<Server>> kept = std::move(servers_);
  servers_.clear();
  for (ServerLayout& layout : servers) {
    std::shared_ptr<Server> server = std::make_shared<Server>();
    const auto known = kept.find(layout.hash);
    if (known != kept.end() && known->second->layout.layout == layout.layout) {
      server = known->second;
    }
    server->engines.resize(layout.engines.size());
    server->layout = std::move(layout);
    servers_[server->layout.hash] = server;
  }
}

void ServerPoller::poll(DetailLevel level, MonotonicTime now) {
  for (const auto& [hash, server] : servers_) {
    if (server->outstanding && now - server->asked < kAnswerTimeout) {
      continue;
    }
    server->outstanding = true;
    server->asked = now;
    ++polls_;
    const auto& endpoints = server->layout.endpoints;
    engines_.load(endpoints[server->endpoint % endpoints.size()],
                  [this, server = server, level, guard = std::weak_ptr<bool>(alive_)](auto result) {
                    if (guard.expired()) {
                      return;
                    }
                    server->outstanding = false;
                    if (result.has_error()) {
                      ++failures_;
                      ++server->endpoint;
                      return;
                    }
                    on_reports(*server, result.value(), level);
                  });
  }
}

bool ServerPoller::send_slow(EngineState& state, const SlowFigures& slow, std::size_t turn) const {
  if (!alike(slow, state.sent)) {
    state.sent = slow;
    state.repeats = kSlowRepeats;
  }
  if (state.repeats > 0) {
    --state.repeats;
    return true;
  }
  return turn == 0;
}

void ServerPoller::on_reports(Server& server, const std::vector<engine::LoadReport>& reports,
                              DetailLevel level) {
  std::vector<PackedEngine> engines(server.layout.engines.size());
  Duration age{};
  const std::size_t turns = level == DetailLevel::kFull ? kFullSlowTurn : kCoarseSlowTurn;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const auto found = std::find_if(reports.begin(), reports.end(), [&](const auto& report) {
      return report.engine == server.layout.engines[i];
    });
    engines[i].present = found != reports.end();
    if (!engines[i].present) {
      continue;
    }
    engines[i].report = *found;
    age = std::max(age, found->age);
    const std::size_t turn = (server.round + i) % turns;
    engines[i].send_slow = send_slow(server.engines[i], slow_figures(*found), turn);
  }
  LoadRecord record;
  record.server = server.layout.hash;
  record.layout = server.layout.layout;
  record.poller = poller_;
  record.round = ++server.round;
  record.age_milliseconds = milliseconds(age);
  record.level = level;
  record.engines = pack_engines(engines, level);
  sink_(record);
}

}  // namespace ochrespring::digest
