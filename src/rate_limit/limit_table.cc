#include "rate_limit/limit_table.h"

#include <algorithm>

namespace ochrespring::rate_limit {

namespace {

using Kind = gateway::RateStatement::Kind;

/// Of two nodes that raised the same version, the one that heard the lower limit is believed.
bool is_newer(const LimitNews& news, const LimitNews& known) {
  if (news.version != known.version || news.says_same(known)) {
    return news.version > known.version;
  }
  return news.limited && (!known.limited || news.rate < known.rate);
}

}  // namespace

std::optional<LimitNews> LimitTable::note_answer(const RateAnswer& answer, MonotonicTime now) {
  if (answer.statement.kind == Kind::kMalformed) {
    return std::nullopt;
  }
  const bool limited = answer.statement.kind == Kind::kLimited;
  const auto found = known_.find(answer.backend);
  if (found == known_.end() && !limited) {
    return std::nullopt;
  }
  LimitNews news{.backend = answer.backend,
                 .limited = limited,
                 .rate = limited ? answer.statement.rate : gateway::RequestRate(),
                 .version = 1};
  if (found != known_.end()) {
    const Known& known = found->second;
    if (answer.sent < known.since || known.news.says_same(news)) {
      return std::nullopt;
    }
    news.version = known.news.version + 1;
  }
  known_[answer.backend] = {news, now};
  return news;
}

bool LimitTable::take(const LimitNews& news, MonotonicTime now) {
  if (news.version == 0 || news.version > kMostVersion) {
    return false;
  }
  const auto found = known_.find(news.backend);
  if (found == known_.end()) {
    known_[news.backend] = {news, now};
    return true;
  }
  Known& known = found->second;
  if (!is_newer(news, known.news)) {
    return false;
  }
  const bool same = known.news.says_same(news);
  known.news = news;
  if (!same) {
    known.since = now;
  }
  return !same;
}

const LimitNews* LimitTable::find(const gateway::BackendId& backend) const {
  const auto found = known_.find(backend);
  return found == known_.end() ? nullptr : &found->second.news;
}

std::optional<gateway::RequestRate> LimitTable::limit_of(const gateway::BackendId& backend) const {
  const LimitNews* news = find(backend);
  return news != nullptr && news->limited ? std::optional(news->rate) : std::nullopt;
}

std::size_t LimitTable::limited_count() const {
  return static_cast<std::size_t>(std::count_if(
      known_.begin(), known_.end(), [](const auto& entry) { return entry.second.news.limited; }));
}

}  // namespace ochrespring::rate_limit
