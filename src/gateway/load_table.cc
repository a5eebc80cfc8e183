#include "gateway/load_table.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace ochrespring::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Half-life of the weight of a load report.
constexpr Duration kReportHalfLife = milliseconds(300);
constexpr std::uint32_t kNormalPacePercent = 100;
/// Bounds for the reported pace, against implausible values.
constexpr double kMaxSlowness = 10;
constexpr double kMinSlowness = 0.1;
/// Half-life of the counts of failures, attempts and refusals.
constexpr Duration kOutcomeHalfLife = seconds(3);
/// Virtual successful attempts added to the counts, so that a single failure does not exclude a
/// back end.
constexpr double kPriorAttempts = 2;
/// Upper bound of the attempt count; bounds the time until a recovery shows.
constexpr double kMaxCountedAttempts = 12;
constexpr Duration kFirstEjection = milliseconds(1000);
constexpr std::uint32_t kMaxEjectionDoublings = 2;
/// Covers the heartbeat intervals for which the store still lists a terminated back end.
constexpr Duration kReplacedEjection = seconds(6);
/// A response this recent overrides another node's report that the back end is unresponsive.
constexpr Duration kRecentAnswer = milliseconds(500);
/// Time after its last use for which a prompt part is assumed to stay cached.
constexpr Duration kAssumedCacheTime = seconds(11);
/// Engines evict the least recently used parts, and only when their memory is full: a part is
/// assumed to be cached, however old, while at most this many other parts have been prefilled
/// there. The smallest memory in use holds 305,000 tokens, that is 18 prompts of 17,000; a prompt
/// has one to two shared parts. With a limit on age alone, at 9,695 engines and 316 prompts per
/// second, a quarter of the parts would recur after more than `kAssumedCacheTime` and be prefilled
/// again elsewhere, although the engine has prefilled only one prompt since.
constexpr std::uint64_t kMaxNewerParts = 10;
/// Limit on that assumption: an engine may evict parts for other reasons.
constexpr Duration kMaxAssumedCacheTime = seconds(120);
/// Time after its last use for which a part is assumed to be fetchable by other engines; a failed
/// fetch costs little.
constexpr Duration kAssumedFetchableTime = seconds(8);
/// Time after a part was first sent within which its prefill may still be running.
constexpr Duration kMaxPrefillTime = milliseconds(1500);

double decay_factor(Duration age, Duration half_life) {
  return std::exp2(-to_seconds(age) / to_seconds(half_life));
}

bool read_count(std::string_view& text, std::uint32_t& count) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc()) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  text.remove_prefix(std::min(text.find_first_not_of(", "), text.size()));
  return true;
}

}  // namespace

std::optional<ReportedLoad> parse_load(std::string_view text) {
  ReportedLoad load;
  const bool read = read_count(text, load.running) && read_count(text, load.waiting) &&
                    read_count(text, load.slots);
  if (!read) {
    return std::nullopt;
  }
  if (!text.empty() && !read_count(text, load.pace_percent)) {
    load.pace_percent = kNormalPacePercent;
  }
  return load;
}

void BackendLoad::begin(std::uint64_t prefill_tokens) {
  ++in_flight_;
  pending_prefill_tokens_ += prefill_tokens;
}

void BackendLoad::note_prefilled(std::uint64_t prefill_tokens) {
  pending_prefill_tokens_ -= std::min(prefill_tokens, pending_prefill_tokens_);
}

void BackendLoad::end(AttemptOutcome outcome, MonotonicTime now) {
  in_flight_ -= std::min<std::uint32_t>(in_flight_, 1);
  decay(now);
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      count_outcomes(1, 0);
      answered_at_ = now;
      unreachable_in_row_ = 0;
      break;
    case AttemptOutcome::kFailed:
      count_outcomes(1, 1);
      break;
    case AttemptOutcome::kUnreachable:
      count_outcomes(1, 1);
      note_unresponsive(now);
      break;
    case AttemptOutcome::kReplaced:
      ejected_until_ = now + kReplacedEjection;
      replaced_until_ = ejected_until_;
      break;
    case AttemptOutcome::kRefused:
      refusals_ = std::min(refusals_ + 1, kMaxCountedAttempts);
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kAbandoned:
      break;
  }
}

void BackendLoad::note_unresponsive(MonotonicTime now) {
  ejected_until_ =
      now + kFirstEjection * (1U << std::min(unreachable_in_row_, kMaxEjectionDoublings));
  ++unreachable_in_row_;
}

void BackendLoad::note_peer_unresponsive(MonotonicTime now) {
  if (!answered_at_ || now - *answered_at_ > kRecentAnswer) {
    ejected_until_ = std::max(ejected_until_, now + kFirstEjection);
  }
}

void BackendLoad::note_report(const ReportedLoad& load, MonotonicTime now) {
  answered_at_ = now;
  reported_ = load;
  own_at_report_ = in_flight_;
  reported_at_ = now;
}

double BackendLoad::reported_others(MonotonicTime now) const {
  if (!reported_at_) {
    return 0;
  }
  const double all = reported_.running + reported_.waiting;
  return std::max(0.0, all - own_at_report_) * decay_factor(now - *reported_at_, kReportHalfLife);
}

double BackendLoad::reported_waiting(MonotonicTime now) const {
  return reported_at_ ? reported_.waiting * decay_factor(now - *reported_at_, kReportHalfLife)
                      : 0.0;
}

ReportedPace BackendLoad::pace(MonotonicTime now) const {
  if (!reported_at_) {
    return {};
  }
  return {.factor = std::clamp(static_cast<double>(reported_.pace_percent) / kNormalPacePercent,
                               kMinSlowness, kMaxSlowness),
          .weight = decay_factor(now - *reported_at_, kReportHalfLife)};
}

double BackendLoad::slowness(MonotonicTime now) const {
  const ReportedPace reported = pace(now);
  return 1 + (reported.factor - 1) * reported.weight;
}

double BackendLoad::failure_share(MonotonicTime now) const {
  const double weight = decay_factor(now - decayed_at_, kOutcomeHalfLife);
  return failures_ * weight / (attempts_ * weight + kPriorAttempts);
}

double BackendLoad::own_refusal_share(MonotonicTime now) const {
  const double weight = decay_factor(now - decayed_at_, kOutcomeHalfLife);
  return refusals_ * weight / ((attempts_ + refusals_) * weight + kPriorAttempts);
}

double BackendLoad::refusal_share(MonotonicTime now) const {
  const double peer_share = now < peer_backoff_until_ ? kPeerBackoffRefusalShare : 0;
  return std::max(peer_share, own_refusal_share(now));
}

void BackendLoad::note_peer_outcomes(std::uint32_t ended, std::uint32_t failed, MonotonicTime now) {
  decay(now);
  count_outcomes(ended, std::min(ended, failed));
}

/// Caps the counts in favor of recent attempts, so that a recovery shows within seconds.
void BackendLoad::count_outcomes(double ended, double failed) {
  attempts_ += ended;
  failures_ += failed;
  if (attempts_ > kMaxCountedAttempts) {
    failures_ *= kMaxCountedAttempts / attempts_;
    attempts_ = kMaxCountedAttempts;
  }
}

void BackendLoad::decay(MonotonicTime now) {
  const double weight = decay_factor(now - decayed_at_, kOutcomeHalfLife);
  failures_ *= weight;
  attempts_ *= weight;
  refusals_ *= weight;
  decayed_at_ = now;
}

bool BackendLoad::note_cached(std::uint64_t part_key, MonotonicTime now) {
  ++parts_noted_;
  const auto [entry, fresh] = cached_.try_emplace(part_key, CachedPart{now, now, parts_noted_});
  CachedPart& part = entry->second;
  if (!is_probably_cached(part, kAssumedFetchableTime, now)) {
    part.first_used = now;
  }
  part.last_used = now;
  part.used_at_note = parts_noted_;
  if (cached_.size() >= prune_cached_at_) {
    std::erase_if(cached_, [&](const auto& cached) {
      return !is_probably_cached(cached.second, kAssumedFetchableTime, now);
    });
    prune_cached_at_ = std::max(kMinPruneSize, 2 * cached_.size());
  }
  return fresh;
}

bool BackendLoad::is_probably_cached(const CachedPart& part, Duration cache_time,
                                     MonotonicTime now) const {
  const Duration age = now - part.last_used;
  const bool few_newer_parts = parts_noted_ - part.used_at_note <= kMaxNewerParts;
  return age < cache_time || (few_newer_parts && age < kMaxAssumedCacheTime);
}

bool BackendLoad::holds(std::uint64_t part_key, MonotonicTime now) const {
  const auto found = cached_.find(part_key);
  return found != cached_.end() && is_probably_cached(found->second, kAssumedCacheTime, now);
}

void BackendLoad::forget_cached(std::uint64_t part_key, MonotonicTime first_used) {
  const auto found = cached_.find(part_key);
  if (found != cached_.end() && found->second.first_used >= first_used) {
    cached_.erase(found);
  }
}

std::vector<std::uint64_t> BackendLoad::cached_part_keys(MonotonicTime now) const {
  std::vector<std::uint64_t> keys;
  for (const auto& [key, part] : cached_) {
    if (is_probably_cached(part, kAssumedCacheTime, now)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::optional<MonotonicTime> BackendLoad::ready_part(std::uint64_t part_key,
                                                     MonotonicTime now) const {
  const auto found = cached_.find(part_key);
  if (found == cached_.end() || !is_probably_cached(found->second, kAssumedFetchableTime, now) ||
      now - found->second.first_used < kMaxPrefillTime) {
    return std::nullopt;
  }
  return found->second.last_used;
}

/// Skips the last part, which belongs to this request alone.
void LoadTable::note_prompt(const BackendId& id, const Prompt& prompt, MonotonicTime now) {
  std::vector<std::uint64_t> keys;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    keys.push_back(prompt.parts[i].key);
  }
  note_parts(id, keys, now);
}

void LoadTable::forget_prompt(const BackendId& id, const Prompt& prompt, MonotonicTime sent) {
  BackendLoad* load = known(id);
  for (std::size_t i = 0; load != nullptr && i + 1 < prompt.parts.size(); ++i) {
    load->forget_cached(prompt.parts[i].key, sent);
  }
}

void LoadTable::note_parts(const BackendId& id, const std::vector<std::uint64_t>& keys,
                           MonotonicTime now) {
  if (keys.empty()) {
    return;
  }
  for (const std::uint64_t key : keys) {
    note_cached(id, key, now);
  }
  if (parts_cached_callback_) {
    parts_cached_callback_(id, keys);
  }
}

void LoadTable::note_cached(const BackendId& id, std::uint64_t part_key, MonotonicTime now) {
  if (find_or_create(id).note_cached(part_key, now)) {
    index_part(id, part_key, now);
  }
}

/// Rebuilds the index when its size has doubled, which drops evicted parts and removed engines.
void LoadTable::index_part(const BackendId& id, std::uint64_t part_key, MonotonicTime now) {
  holders_[part_key].push_back(id);
  if (++holder_entries_ < prune_holders_at_) {
    return;
  }
  holders_.clear();
  holder_entries_ = 0;
  for (const auto& [holder, load] : loads_) {
    for (const std::uint64_t key : load.cached_part_keys(now)) {
      holders_[key].push_back(holder);
      ++holder_entries_;
    }
  }
  prune_holders_at_ = std::max(kMinIndexPruneSize, 2 * holder_entries_);
}

std::vector<BackendId> LoadTable::holders(std::uint64_t part_key, std::size_t max_count,
                                          MonotonicTime now, RandomSource& random) const {
  const auto found = holders_.find(part_key);
  if (found == holders_.end() || max_count == 0) {
    return {};
  }
  const std::vector<BackendId>& all = found->second;
  const std::size_t begin = all.size() > max_count ? random.below(all.size()) : 0;
  std::vector<BackendId> chosen;
  for (std::size_t i = 0; i != all.size() && i != kMaxHoldersTried && chosen.size() != max_count;
       ++i) {
    const BackendId& id = all[(begin + i) % all.size()];
    const BackendLoad* load = find(id);
    const bool known = std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    if (load != nullptr && !known && load->holds(part_key, now)) {
      chosen.push_back(id);
    }
  }
  return chosen;
}

void LoadTable::begin(const BackendId& id, std::uint64_t prefill_tokens) {
  find_or_create(id).begin(prefill_tokens);
  changed(id);
}

void LoadTable::note_prefilled(const BackendId& id, std::uint64_t prefill_tokens) {
  BackendLoad* load = known(id);
  if (load != nullptr && prefill_tokens != 0) {
    load->note_prefilled(prefill_tokens);
    changed(id);
  }
}

void LoadTable::end(const BackendId& id, AttemptOutcome outcome, MonotonicTime now) {
  BackendLoad* load = known(id);
  if (load == nullptr) {
    return;
  }
  load->end(outcome, now);
  if (attempt_ended_callback_ &&
      (outcome == AttemptOutcome::kSucceeded || outcome == AttemptOutcome::kFailed)) {
    attempt_ended_callback_(id, outcome == AttemptOutcome::kFailed);
  }
  changed(id);
  const bool terminated_or_unreachable =
      outcome == AttemptOutcome::kUnreachable || outcome == AttemptOutcome::kReplaced;
  if (terminated_or_unreachable && unresponsive_callback_) {
    unresponsive_callback_(id);
  }
}

void LoadTable::note_report(const BackendId& id, const ReportedLoad& load, MonotonicTime now) {
  if (BackendLoad* reported = known(id)) {
    reported->note_report(load, now);
  }
}

void LoadTable::note_unresponsive(const BackendId& id, MonotonicTime now) {
  BackendLoad* load = known(id);
  if (load == nullptr) {
    return;
  }
  load->note_unresponsive(now);
  if (unresponsive_callback_) {
    unresponsive_callback_(id);
  }
}

void LoadTable::end_ejection(const BackendId& id) {
  if (BackendLoad* load = known(id)) {
    load->end_ejection();
  }
}

EngineWorkload LoadTable::own(const BackendId& id) const {
  const BackendLoad* load = find(id);
  return load == nullptr ? EngineWorkload()
                         : EngineWorkload{load->in_flight(), load->pending_prefill_tokens()};
}

EngineWorkload LoadTable::others(const BackendId& id, MonotonicTime now) const {
  return peers_ == nullptr ? EngineWorkload() : peers_->work_at(id, now);
}

void LoadTable::changed(const BackendId& id) const {
  if (workload_changed_callback_) {
    workload_changed_callback_(id);
  }
}

BackendLoad* LoadTable::known(const BackendId& id) {
  const auto found = loads_.find(id);
  return found == loads_.end() ? nullptr : &found->second;
}

const BackendLoad* LoadTable::find(const BackendId& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? nullptr : &found->second;
}

}  // namespace ochrespring::gateway
