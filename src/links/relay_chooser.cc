#include "links/relay_chooser.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <vector>

namespace ochrespring::links {

namespace {

/// How long a node that has refused is not asked again. Refusals take a round trip, and the node
/// may be the only one that reaches the back end as soon as its own link is back.
constexpr Duration kRefusalTime = std::chrono::milliseconds(100);
/// How long a node that was unreachable is not asked again.
constexpr Duration kUnreachableTime = std::chrono::milliseconds(500);
/// How long what a node did counts for the order of preference.
constexpr Duration kRecordTime = std::chrono::milliseconds(1000);
/// Two for each of: has relayed, has no record, has refused.
constexpr std::size_t kRanks = 6;

/// The address without its port.
std::string_view host_of(const Endpoint& endpoint) {
  const std::string_view text = endpoint.value();
  return text.substr(0, text.rfind(':'));
}

}  // namespace

bool RelayChooser::has_failed(const Failure& failure) const {
  const auto found = failed_at_.find(failure);
  const Duration lasts = failure.second.empty() ? kUnreachableTime : kRefusalTime;
  return found != failed_at_.end() && clock_.now() - found->second < lasts;
}

std::optional<Endpoint> RelayChooser::choose(const Endpoint& backend,
                                             const std::set<Endpoint>& asked) {
  std::erase_if(failed_at_, [&](const auto& entry) { return !has_failed(entry.first); });
  std::erase_if(records_, [&](const auto& entry) { return !is_recent(entry.second); });
  std::array<std::vector<Endpoint>, kRanks> candidates;
  for (const auto& [id, record] : nodes_.others()) {
    const Endpoint& address = record.peer_address;
    if (!address.empty() && !asked.contains(address) && !has_failed({address, backend}) &&
        !has_failed({address, Endpoint()})) {
      candidates[rank(record)].push_back(address);
    }
  }
  for (const std::vector<Endpoint>& equals : candidates) {
    if (!equals.empty()) {
      return equals[random_.below(equals.size())];
    }
  }
  return std::nullopt;
}

void RelayChooser::note_refused(const Endpoint& node, const Endpoint& backend) {
  failed_at_[{node, backend}] = clock_.now();
  records_[node] = {clock_.now(), false};
}

bool RelayChooser::is_recent(const Record& record) const {
  return clock_.now() - record.at < kRecordTime;
}

std::size_t RelayChooser::rank(const discovery::NodeRecord& node) const {
  const std::size_t other_zone = node.zone == nodes_.self().zone ? 0 : 1;
  const auto found = records_.find(node.peer_address);
  if (found == records_.end()) {
    return 2 + other_zone;
  }
  return (found->second.relayed ? 0 : 4) + other_zone;
}

bool RelayChooser::is_relay(const Endpoint& address) const {
  const auto& others = nodes_.others();
  return std::any_of(others.begin(), others.end(),
                     [&](const auto& entry) { return entry.second.peer_address == address; });
}

bool RelayChooser::is_node(const Endpoint& address) const {
  const auto matches = [&](const discovery::NodeRecord& record) {
    return host_of(record.peer_address) == host_of(address);
  };
  const auto& others = nodes_.others();
  if (std::any_of(others.begin(), others.end(),
                  [&](const auto& entry) { return matches(entry.second); })) {
    return true;
  }
  const std::vector<discovery::NodeRecord> removed = nodes_.recently_removed();
  return std::any_of(removed.begin(), removed.end(), matches);
}

}  // namespace ochrespring::links
