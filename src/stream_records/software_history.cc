#include "stream_records/software_history.h"

#include <algorithm>
#include <set>

namespace ochrespring::stream_records {

void SoftwareHistory::note_view_current() {
  if (!complete_since_) {
    complete_since_ = clock_.now();
  }
}

void SoftwareHistory::note_removed(const gateway::Backend& backend) {
  remove_expired();
  if (backend.role != gateway::EngineRole::kPrefill) {
    removed_[backend.service][software_of(backend)] = clock_.now();
  }
}

bool SoftwareHistory::is_view_current() const {
  const auto current_at = fleet_.current_at();
  return current_at && clock_.now() - *current_at <= kMaxViewAge;
}

std::optional<gateway::SoftwareId> SoftwareHistory::sole_software(const ServiceName& service,
                                                                  Duration span) const {
  const MonotonicTime now = clock_.now();
  if (!complete_since_ || now - *complete_since_ < span || !is_view_current()) {
    return std::nullopt;
  }
  std::set<gateway::SoftwareId> seen;
  if (const gateway::BackendGroup* group = fleet_.index().find(service, /*prefill=*/false)) {
    for (const gateway::Backend* backend : group->all([](const auto& /*any*/) { return true; })) {
      seen.insert(software_of(*backend));
    }
  }
  if (const auto removed = removed_.find(service); removed != removed_.end()) {
    for (const auto& [software, removed_at] : removed->second) {
      if (now - removed_at < span) {
        seen.insert(software);
      }
    }
  }
  return seen.size() == 1 ? std::optional(*seen.begin()) : std::nullopt;
}

std::optional<SoftwareHistoryReport> SoftwareHistory::report() const {
  if (!complete_since_ || !is_view_current()) {
    return std::nullopt;
  }
  const MonotonicTime now = clock_.now();
  SoftwareHistoryReport report{.complete_for = now - *complete_since_, .removed = {}};
  for (const auto& [service, software] : removed_) {
    for (const auto& [id, removed_at] : software) {
      report.removed.push_back({service, id, now - removed_at});
    }
  }
  return report;
}

void SoftwareHistory::receive(const SoftwareHistoryReport& report) {
  const MonotonicTime now = clock_.now();
  complete_since_ = std::min(complete_since_.value_or(now), now - report.complete_for);
  for (const RemovedSoftware& removed : report.removed) {
    MonotonicTime& removed_at = removed_[removed.service][removed.software];
    removed_at = std::max(removed_at, now - removed.ago);
  }
  remove_expired();
}

void SoftwareHistory::remove_expired() {
  const MonotonicTime now = clock_.now();
  for (auto& [service, software] : removed_) {
    std::erase_if(software, [&](const auto& item) { return now - item.second >= kRetention; });
  }
  std::erase_if(removed_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace ochrespring::stream_records
