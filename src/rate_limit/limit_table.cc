#include "rate_limit/limit_table.h"

#include <algorithm>

namespace ochrespring::rate_limit {

namespace {

using Kind = gateway::RateStatement::Kind;

/// If two nodes have assigned the same version, the lower limit takes precedence.
bool is_newer(const LimitReport& report, const LimitReport& known) {
  if (report.version != known.version || report.same_limit_as(known)) {
    return report.version > known.version;
  }
  return report.limited && (!known.limited || report.rate < known.rate);
}

}  // namespace

std::optional<LimitReport> LimitTable::note_answer(const RateAnswer& answer, MonotonicTime now) {
  if (answer.statement.kind == Kind::kMalformed) {
    return std::nullopt;
  }
  const bool limited = answer.statement.kind == Kind::kLimited;
  const auto found = entries_.find(answer.backend);
  if (found == entries_.end() && !limited) {
    return std::nullopt;
  }
  LimitReport report{.backend = answer.backend,
                     .limited = limited,
                     .rate = limited ? answer.statement.rate : gateway::RequestRate(),
                     .version = 1};
  if (found != entries_.end()) {
    const Entry& entry = found->second;
    if (answer.sent < entry.learned_at || entry.report.same_limit_as(report)) {
      return std::nullopt;
    }
    report.version = entry.report.version + 1;
  }
  entries_[answer.backend] = {report, now};
  return report;
}

bool LimitTable::merge(const LimitReport& report, MonotonicTime now) {
  if (report.version == 0 || report.version > kMaxVersion) {
    return false;
  }
  const auto found = entries_.find(report.backend);
  if (found == entries_.end()) {
    entries_[report.backend] = {report, now};
    return true;
  }
  Entry& entry = found->second;
  if (!is_newer(report, entry.report)) {
    return false;
  }
  const bool same = entry.report.same_limit_as(report);
  entry.report = report;
  if (!same) {
    entry.learned_at = now;
  }
  return !same;
}

const LimitReport* LimitTable::find(const gateway::BackendId& backend) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() ? nullptr : &found->second.report;
}

std::optional<gateway::RequestRate> LimitTable::limit_of(const gateway::BackendId& backend) const {
  const LimitReport* report = find(backend);
  return report != nullptr && report->limited ? std::optional(report->rate) : std::nullopt;
}

std::size_t LimitTable::limited_count() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return entry.second.report.limited; }));
}

}  // namespace ochrespring::rate_limit
