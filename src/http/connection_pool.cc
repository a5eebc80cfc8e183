#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

namespace ochrespring::http {

ConnectionPool::Idle::Idle(ConnectionPool& pool, std::string endpoint,
                           std::unique_ptr<ClientConnection> connection, Duration keep)
    : pool_(pool),
      endpoint_(std::move(endpoint)),
      connection_(std::move(connection)),
      expiry_(pool.loop_) {
  connection_->set_listener(this);
  connection_->set_reading(true);
  expiry_.arm(keep, [this] { pool_.drop(endpoint_, this); });
}

std::unique_ptr<ClientConnection> ConnectionPool::Idle::release() {
  expiry_.disarm();
  connection_->set_listener(nullptr);
  return std::move(connection_);
}

std::unique_ptr<ClientConnection> ConnectionPool::take(const std::string& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& kept = found->second;
  while (!kept.empty()) {
    std::unique_ptr<ClientConnection> connection = kept.back()->release();
    kept.pop_back();
    if (!connection->has_pending_input()) {
      return connection;
    }
  }
  return nullptr;
}

bool ConnectionPool::has(const std::string& endpoint) const {
  const auto found = idle_.find(endpoint);
  return found != idle_.end() && !found->second.empty();
}

void ConnectionPool::put(const std::string& endpoint, std::unique_ptr<ClientConnection> connection,
                         Duration keep, std::size_t max_idle) {
  auto& kept = idle_[endpoint];
  if (kept.size() < max_idle) {
    kept.push_back(std::make_unique<Idle>(*this, endpoint, std::move(connection), keep));
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
