#include "links/link_monitor.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace ochrespring::links {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kComponent = "links";
/// Back ends that a survey probes, and cut links that are probed at once when one is back.
constexpr std::size_t kSurveyProbes = 8;
constexpr Duration kMinSurveyInterval = milliseconds(500);
constexpr Duration kMinCheckInterval = milliseconds(500);
/// Interval between probes of cut links. A partitioned node probes more often, because all of its
/// requests cost a second hop.
constexpr Duration kPartitionRecoveryInterval = milliseconds(250);
constexpr Duration kLinkRecoveryInterval = milliseconds(500);
/// Cut links probed per interval.
constexpr std::size_t kRecoveryProbes = 2;

}  // namespace

LinkMonitor::LinkMonitor(Dependencies deps, LinkProbe probe)
    : deps_(deps), probe_(std::move(probe)), recovery_timer_(deps.timers) {}

void LinkMonitor::probe(const Endpoint& backend, std::function<void(bool connected)> done) {
  ++statistics_.probes;
  probing_.insert(backend);
  probe_(backend, [self = std::weak_ptr(self_), backend, done = std::move(done)](bool connected) {
    if (const auto monitor = self.lock()) {
      (*monitor)->probing_.erase(backend);
      done(connected);
    }
  });
}

void LinkMonitor::note_unreachable(const Endpoint& backend) {
  mark(backend, Evidence::kObserved);
  const MonotonicTime now = deps_.clock.now();
  const bool recent = surveyed_at_ && now - *surveyed_at_ < kMinSurveyInterval;
  if (!partitioned_ && survey_.pending == 0 && !recent) {
    surveyed_at_ = now;
    start_survey();
  }
}

void LinkMonitor::check(const Endpoint& backend) {
  const MonotonicTime now = deps_.clock.now();
  const auto checked = checked_at_.find(backend);
  const bool recent = checked != checked_at_.end() && now - checked->second < kMinCheckInterval;
  if (recent || is_cut(backend) || probing_.contains(backend)) {
    return;
  }
  checked_at_[backend] = now;
  probe(backend, [this, backend](bool connected) {
    if (!connected) {
      note_unreachable(backend);
    }
  });
}

/// While the node is partitioned, the relay may be partitioned as well, without knowing it yet.
void LinkMonitor::note_unreachable_for_relay(const Endpoint& backend) {
  if (!partitioned_) {
    restore(backend);
  }
}

void LinkMonitor::forget(const Endpoint& backend) {
  checked_at_.erase(backend);
  cut_.erase(backend);
  if (cut_.empty()) {
    partitioned_ = false;
    recovery_timer_.disarm();
  }
}

void LinkMonitor::mark(const Endpoint& backend, Evidence evidence) {
  const auto [entry, added] = cut_.try_emplace(backend, evidence);
  if (evidence == Evidence::kObserved) {
    entry->second = evidence;
  }
  if (!added) {
    return;
  }
  if (evidence == Evidence::kObserved) {
    ++statistics_.links_cut;
    deps_.logger.write({logging::Level::kInfo,
                        kComponent,
                        "link to a back end is cut, or it has terminated",
                        {{"address", backend.value()}}});
  }
  if (on_cut_) {
    on_cut_(backend);
  }
  if (!recovery_timer_.armed()) {
    schedule_recovery();
  }
  if (!partitioned_ && are_all_cut()) {
    assume_partition();
  }
}

/// With a single back end, nothing tells a partition from its termination.
bool LinkMonitor::are_all_cut() const {
  const auto& backends = deps_.fleet.backends();
  return backends.size() > 1 &&
         std::all_of(backends.begin(), backends.end(),
                     [&](const auto& entry) { return is_cut(entry.second.address); });
}

void LinkMonitor::restore(const Endpoint& backend) {
  if (cut_.erase(backend) == 0) {
    return;
  }
  if (cut_.empty()) {
    recovery_timer_.disarm();
  }
}

void LinkMonitor::start_survey() {
  const std::vector<Endpoint> others = sample(false, kSurveyProbes);
  survey_ = {.pending = others.size(), .any_connected = false};
  for (const Endpoint& other : others) {
    probe(other, [this, other](bool connected) {
      survey_.any_connected = survey_.any_connected || connected;
      if (!connected) {
        mark(other, Evidence::kObserved);
      }
      if (--survey_.pending == 0) {
        finish_survey();
      }
    });
  }
}

void LinkMonitor::finish_survey() {
  if (!survey_.any_connected && !cut_.empty() && !partitioned_) {
    assume_partition();
  }
}

void LinkMonitor::assume_partition() {
  partitioned_ = true;
  ++statistics_.partitions;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "no back end can be reached, requests go through other nodes",
                      {{"failed_links", static_cast<std::uint64_t>(cut_.size())}}});
  for (const auto& [id, backend] : deps_.fleet.backends()) {
    mark(backend.address, Evidence::kAssumed);
    absolve(backend.address);
  }
  schedule_recovery();
}

void LinkMonitor::schedule_recovery() {
  const Duration interval = partitioned_ ? kPartitionRecoveryInterval : kLinkRecoveryInterval;
  recovery_timer_.arm(interval, [this] {
    probe_cut_links(kRecoveryProbes);
    if (!cut_.empty()) {
      schedule_recovery();
    }
  });
}

void LinkMonitor::probe_cut_links(std::size_t max_count) {
  for (const Endpoint& backend : sample(true, max_count)) {
    probe(backend, [this, backend](bool connected) {
      if (connected && is_cut(backend)) {
        on_recovered(backend);
      }
    });
  }
}

/// Links that were only assumed to be cut are used again at once; the others when their own probe
/// succeeds, so that a link that stays cut is not tried with requests.
void LinkMonitor::on_recovered(const Endpoint& backend) {
  restore(backend);
  absolve(backend);
  if (std::exchange(partitioned_, false)) {
    std::vector<Endpoint> assumed;
    for (const auto& [address, evidence] : cut_) {
      if (evidence == Evidence::kAssumed) {
        assumed.push_back(address);
      }
    }
    for (const Endpoint& address : assumed) {
      restore(address);
    }
    deps_.logger.write({logging::Level::kInfo,
                        kComponent,
                        "back ends can be reached again",
                        {{"address", backend.value()},
                         {"failed_links", static_cast<std::uint64_t>(cut_.size())}}});
  }
  probe_cut_links(kSurveyProbes);
}

std::vector<Endpoint> LinkMonitor::sample(bool cut, std::size_t max_count) {
  std::vector<Endpoint> found;
  for (const auto& [id, backend] : deps_.fleet.backends()) {
    if (is_cut(backend.address) == cut && !probing_.contains(backend.address)) {
      found.push_back(backend.address);
    }
  }
  for (std::size_t i = 0; i < std::min(max_count, found.size()); ++i) {
    std::swap(found[i], found[i + deps_.random.below(found.size() - i)]);
  }
  found.resize(std::min(max_count, found.size()));
  return found;
}

}  // namespace ochrespring::links
