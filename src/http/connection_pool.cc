#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

namespace ochrespring::http {

ConnectionPool::Idle::Idle(ConnectionPool& pool, std::string endpoint, Kept kept, Duration keep)
    : pool_(pool), endpoint_(std::move(endpoint)), kept_(std::move(kept)), expiry_(pool.loop_) {
  kept_.connection->set_listener(this);
  kept_.connection->set_reading(true);
  expiry_.arm(keep, [this] { pool_.drop(endpoint_, this); });
}

ConnectionPool::Kept ConnectionPool::Idle::release() {
  expiry_.disarm();
  kept_.connection->set_listener(nullptr);
  return std::move(kept_);
}

std::unique_ptr<TcpConnection> ConnectionPool::take(const std::string& endpoint) {
  return take(endpoint, false).connection;
}

ConnectionPool::Kept ConnectionPool::take_relayed(const std::string& endpoint,
                                                  const AcceptRelay& accepts) {
  const auto found = idle_.find(endpoint);
  if (found != idle_.end() && accepts) {
    std::erase_if(found->second,
                  [&](const auto& idle) { return idle->relayed() && !accepts(idle->relay()); });
  }
  return take(endpoint, true);
}

ConnectionPool::Kept ConnectionPool::take(const std::string& endpoint, bool relayed) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return {};
  }
  auto& kept = found->second;
  const auto matches = [&](const auto& idle) { return idle->relayed() == relayed; };
  while (true) {
    const auto newest = std::find_if(kept.rbegin(), kept.rend(), matches);
    if (newest == kept.rend()) {
      return {};
    }
    Kept released = (*newest)->release();
    kept.erase(std::next(newest).base());
    if (!released.connection->has_pending_input()) {
      return released;
    }
  }
}

bool ConnectionPool::has(const std::string& endpoint, bool relayed) const {
  const auto found = idle_.find(endpoint);
  return found != idle_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& idle) { return idle->relayed() == relayed; });
}

void ConnectionPool::put(const std::string& endpoint, Kept kept, Duration keep,
                         std::size_t max_idle) {
  auto& idle = idle_[endpoint];
  if (idle.size() < max_idle) {
    idle.push_back(std::make_unique<Idle>(*this, endpoint, std::move(kept), keep));
  }
}

void ConnectionPool::close(const std::string& endpoint, bool relayed) {
  const auto found = idle_.find(endpoint);
  if (found != idle_.end()) {
    std::erase_if(found->second, [&](const auto& idle) { return idle->relayed() == relayed; });
  }
}

void ConnectionPool::drop(const std::string& endpoint, const Idle* idle) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [&](const auto& kept) { return kept.get() == idle; });
}

}  // namespace ochrespring::http
