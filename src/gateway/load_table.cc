#include "gateway/load_table.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace ochrespring::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time in which a report of load loses half of its weight.
constexpr Duration kReportHalfLife = milliseconds(300);
constexpr std::uint32_t kUsualPacePercent = 100;
/// A report that names more, or nothing, is believed no further.
constexpr double kMostSlowness = 10;
constexpr double kLeastSlowness = 0.1;
/// Time in which the memory of failures halves.
constexpr Duration kFailureHalfLife = seconds(3);
/// Attempts believed good before anything is known, so that one failure condemns nobody.
constexpr double kPriorAttempts = 2;
/// Attempts that are remembered at most.
constexpr double kMostAttempts = 12;
constexpr Duration kFirstEjection = milliseconds(1000);
constexpr std::uint32_t kMostDoublings = 2;
/// The store names a back end that has ended for some heartbeats more.
constexpr Duration kUntilForgotten = seconds(6);
/// An answer this recent speaks against what another node tells.
constexpr Duration kRecentAnswer = milliseconds(500);
/// How long a prompt part is believed to stay cached after its last use.
constexpr Duration kCacheBelief = seconds(11);
/// An engine gives up what it has not used for longest, and only when its memory is full: a part is
/// believed kept, however old, while no more than this many others have been read there. The
/// smallest memory in use holds 305,000 tokens, 18 prompts of 17,000; a prompt has one to two
/// shared parts. At 9,695 engines for 316 prompts a second a quarter of the parts came again after
/// more than `kCacheBelief` and were read anew elsewhere, though the engine had read one prompt
/// since.
constexpr std::uint64_t kPartsBesides = 10;
/// But no longer than this: an engine may drop parts for reasons of its own.
constexpr Duration kIdleCacheBelief = seconds(120);
/// How long it is believed to be there for others to fetch: a fetch in vain costs little.
constexpr Duration kFetchBelief = seconds(8);
/// Within this time after a part was first sent, the back end may still be reading it.
constexpr Duration kReadingTime = milliseconds(1500);

double halved(Duration age, Duration half_life) {
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
    load.pace_percent = kUsualPacePercent;
  }
  return load;
}

void BackendLoad::begin(std::uint64_t unread_tokens) {
  ++in_flight_;
  unread_tokens_ += unread_tokens;
}

void BackendLoad::note_prefilled(std::uint64_t unread_tokens) {
  unread_tokens_ -= std::min(unread_tokens, unread_tokens_);
}

void BackendLoad::end(AttemptOutcome verdict, MonotonicTime now) {
  in_flight_ -= std::min<std::uint32_t>(in_flight_, 1);
  fade(now);
  switch (verdict) {
    case AttemptOutcome::kSucceeded:
      count_ends(1, 0);
      answered_at_ = now;
      unreachable_in_row_ = 0;
      break;
    case AttemptOutcome::kFailed:
      count_ends(1, 1);
      break;
    case AttemptOutcome::kUnreachable:
      count_ends(1, 1);
      note_silence(now);
      break;
    case AttemptOutcome::kReplaced:
      ejected_until_ = now + kUntilForgotten;
      replaced_until_ = ejected_until_;
      break;
    case AttemptOutcome::kRefused:
      refusals_ = std::min(refusals_ + 1, kMostAttempts);
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kAbandoned:
      break;
  }
}

void BackendLoad::note_silence(MonotonicTime now) {
  ejected_until_ = now + kFirstEjection * (1U << std::min(unreachable_in_row_, kMostDoublings));
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
  return std::max(0.0, all - own_at_report_) * halved(now - *reported_at_, kReportHalfLife);
}

double BackendLoad::reported_waiting(MonotonicTime now) const {
  return reported_at_ ? reported_.waiting * halved(now - *reported_at_, kReportHalfLife) : 0.0;
}

ReportedPace BackendLoad::pace(MonotonicTime now) const {
  if (!reported_at_) {
    return {};
  }
  return {.factor = std::clamp(static_cast<double>(reported_.pace_percent) / kUsualPacePercent,
                               kLeastSlowness, kMostSlowness),
          .weight = halved(now - *reported_at_, kReportHalfLife)};
}

double BackendLoad::slowness(MonotonicTime now) const {
  const ReportedPace told = pace(now);
  return 1 + (told.factor - 1) * told.weight;
}

double BackendLoad::failure_share(MonotonicTime now) const {
  const double weight = halved(now - faded_at_, kFailureHalfLife);
  return failures_ * weight / (attempts_ * weight + kPriorAttempts);
}

double BackendLoad::own_refusal_share(MonotonicTime now) const {
  const double weight = halved(now - faded_at_, kFailureHalfLife);
  return refusals_ * weight / ((attempts_ + refusals_) * weight + kPriorAttempts);
}

double BackendLoad::refusal_share(MonotonicTime now) const {
  const double told = now < told_pause_until_ ? kToldPauseShare : 0;
  return std::max(told, own_refusal_share(now));
}

void BackendLoad::note_peer_outcomes(std::uint32_t ended, std::uint32_t failed, MonotonicTime now) {
  fade(now);
  count_ends(ended, std::min(ended, failed));
}

/// The newest attempts count: a back end that has recovered is found out in some seconds.
void BackendLoad::count_ends(double ended, double failed) {
  attempts_ += ended;
  failures_ += failed;
  if (attempts_ > kMostAttempts) {
    failures_ *= kMostAttempts / attempts_;
    attempts_ = kMostAttempts;
  }
}

void BackendLoad::fade(MonotonicTime now) {
  const double weight = halved(now - faded_at_, kFailureHalfLife);
  failures_ *= weight;
  attempts_ *= weight;
  refusals_ *= weight;
  faded_at_ = now;
}

bool BackendLoad::note_cached(std::uint64_t part_key, MonotonicTime now) {
  ++parts_noted_;
  const auto [entry, fresh] = cached_.try_emplace(part_key, CachedPart{now, now, parts_noted_});
  CachedPart& part = entry->second;
  if (!believed(part, kFetchBelief, now)) {
    part.first_used = now;
  }
  part.last_used = now;
  part.used_at_note = parts_noted_;
  if (cached_.size() >= prune_cached_at_) {
    std::erase_if(cached_,
                  [&](const auto& cached) { return !believed(cached.second, kFetchBelief, now); });
    prune_cached_at_ = std::max(kLeastPrune, 2 * cached_.size());
  }
  return fresh;
}

bool BackendLoad::believed(const CachedPart& part, Duration belief, MonotonicTime now) const {
  const Duration age = now - part.last_used;
  const bool little_since = parts_noted_ - part.used_at_note <= kPartsBesides;
  return age < belief || (little_since && age < kIdleCacheBelief);
}

bool BackendLoad::holds(std::uint64_t part_key, MonotonicTime now) const {
  const auto found = cached_.find(part_key);
  return found != cached_.end() && believed(found->second, kCacheBelief, now);
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
    if (believed(part, kCacheBelief, now)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::optional<MonotonicTime> BackendLoad::ready_part(std::uint64_t part_key,
                                                     MonotonicTime now) const {
  const auto found = cached_.find(part_key);
  if (found == cached_.end() || !believed(found->second, kFetchBelief, now) ||
      now - found->second.first_used < kReadingTime) {
    return std::nullopt;
  }
  return found->second.last_used;
}

/// The last part is the request's own: nobody else will ask for it.
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
  if (prompt_read_) {
    prompt_read_(id, keys);
  }
}

void LoadTable::note_cached(const BackendId& id, std::uint64_t part_key, MonotonicTime now) {
  if (of(id).note_cached(part_key, now)) {
    index_part(id, part_key, now);
  }
}

/// What engines have forgotten, and engines that have gone, leave the index when it has doubled.
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
  prune_holders_at_ = std::max(kLeastIndexPrune, 2 * holder_entries_);
}

std::vector<BackendId> LoadTable::holders(std::uint64_t part_key, std::size_t most,
                                          MonotonicTime now, RandomSource& random) const {
  const auto found = holders_.find(part_key);
  if (found == holders_.end() || most == 0) {
    return {};
  }
  const std::vector<BackendId>& all = found->second;
  const std::size_t begin = all.size() > most ? random.below(all.size()) : 0;
  std::vector<BackendId> chosen;
  for (std::size_t i = 0; i != all.size() && i != kMostHoldersTried && chosen.size() != most; ++i) {
    const BackendId& id = all[(begin + i) % all.size()];
    const BackendLoad* load = find(id);
    const bool known = std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    if (load != nullptr && !known && load->holds(part_key, now)) {
      chosen.push_back(id);
    }
  }
  return chosen;
}

void LoadTable::begin(const BackendId& id, std::uint64_t unread_tokens) {
  of(id).begin(unread_tokens);
  changed(id);
}

void LoadTable::note_prefilled(const BackendId& id, std::uint64_t unread_tokens) {
  BackendLoad* load = known(id);
  if (load != nullptr && unread_tokens != 0) {
    load->note_prefilled(unread_tokens);
    changed(id);
  }
}

void LoadTable::end(const BackendId& id, AttemptOutcome verdict, MonotonicTime now) {
  BackendLoad* load = known(id);
  if (load == nullptr) {
    return;
  }
  load->end(verdict, now);
  if (ended_ && (verdict == AttemptOutcome::kSucceeded || verdict == AttemptOutcome::kFailed)) {
    ended_(id, verdict == AttemptOutcome::kFailed);
  }
  changed(id);
  const bool gone = verdict == AttemptOutcome::kUnreachable || verdict == AttemptOutcome::kReplaced;
  if (gone && silent_) {
    silent_(id);
  }
}

void LoadTable::note_report(const BackendId& id, const ReportedLoad& load, MonotonicTime now) {
  if (BackendLoad* reported = known(id)) {
    reported->note_report(load, now);
  }
}

void LoadTable::note_silence(const BackendId& id, MonotonicTime now) {
  BackendLoad* load = known(id);
  if (load == nullptr) {
    return;
  }
  load->note_silence(now);
  if (silent_) {
    silent_(id);
  }
}

EngineWorkload LoadTable::own(const BackendId& id) const {
  const BackendLoad* load = find(id);
  return load == nullptr ? EngineWorkload()
                         : EngineWorkload{load->in_flight(), load->unread_tokens()};
}

EngineWorkload LoadTable::others(const BackendId& id, MonotonicTime now) const {
  return peers_ == nullptr ? EngineWorkload() : peers_->work_at(id, now);
}

void LoadTable::changed(const BackendId& id) const {
  if (changed_) {
    changed_(id);
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
