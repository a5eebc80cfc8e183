#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

namespace ochrespring::http {

ConnectionPool::Idle::Idle(ConnectionPool& pool, std::string endpoint, bool relayed,
                           std::unique_ptr<TcpConnection> connection, Duration keep)
    : pool_(pool),
      endpoint_(std::move(endpoint)),
      relayed_(relayed),
      connection_(std::move(connection)),
      expiry_(pool.loop_) {
  connection_->set_listener(this);
  connection_->set_reading(true);
  expiry_.arm(keep, [this] { pool_.drop(endpoint_, this); });
}

std::unique_ptr<TcpConnection> ConnectionPool::Idle::release() {
  expiry_.disarm();
  connection_->set_listener(nullptr);
  return std::move(connection_);
}

std::unique_ptr<TcpConnection> ConnectionPool::take(const std::string& endpoint, bool relayed) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& kept = found->second;
  const auto matches = [&](const auto& idle) { return idle->relayed() == relayed; };
  while (true) {
    const auto newest = std::find_if(kept.rbegin(), kept.rend(), matches);
    if (newest == kept.rend()) {
      return nullptr;
    }
    std::unique_ptr<TcpConnection> connection = (*newest)->release();
    kept.erase(std::next(newest).base());
    if (!connection->has_pending_input()) {
      return connection;
    }
  }
}

bool ConnectionPool::has(const std::string& endpoint, bool relayed) const {
  const auto found = idle_.find(endpoint);
  return found != idle_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& idle) { return idle->relayed() == relayed; });
}

void ConnectionPool::put(const std::string& endpoint, bool relayed,
                         std::unique_ptr<TcpConnection> connection, Duration keep,
                         std::size_t max_idle) {
  auto& kept = idle_[endpoint];
  if (kept.size() < max_idle) {
    kept.push_back(std::make_unique<Idle>(*this, endpoint, relayed, std::move(connection), keep));
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
