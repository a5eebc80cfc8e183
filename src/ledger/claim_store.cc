#include "ledger/claim_store.h"

#include <algorithm>
#include <utility>

namespace ochrespring::ledger {

namespace {

/// How long late copies of a released claim's request are remembered; far above message lifetimes.
constexpr Duration kReleasedMemory = std::chrono::seconds(60);

/// An answer tells more than "unknown", which tells more than "running".
int knowledge(RecordedState state) {
  switch (state) {
    case RecordedState::kRunning:
      return 0;
    case RecordedState::kUnknown:
      return 1;
    case RecordedState::kAnswered:
      return 2;
  }
  return 0;
}

}  // namespace

ClaimStore::ClaimStore(const LedgerSettings& settings, ClaimBudget& budget)
    : settings_(settings), budget_(budget) {}

ClaimStore::~ClaimStore() {
  while (!entries_.empty()) {
    erase(entries_.begin());
  }
}

bool ClaimStore::lapsed(const Entry& entry, MonotonicTime now) const {
  return now - entry.created >= settings_.window;
}

void ClaimStore::insert(const ClaimKey& key, Entry entry) {
  by_age_.emplace(entry.created, key);
  budget_.claims += 1;
  RecordedOutcome outcome = std::exchange(entry.outcome, RecordedOutcome{});
  const auto [position, inserted] = entries_.emplace(key, std::move(entry));
  keep_outcome(position->second, std::move(outcome));
}

void ClaimStore::erase(Entries::iterator position) {
  budget_.claims -= 1;
  budget_.outcome_bytes -= position->second.outcome.body.size();
  const auto [first, last] = by_age_.equal_range(position->second.created);
  const auto found = std::find_if(
      first, last, [&position](const auto& item) { return item.second == position->first; });
  by_age_.erase(found);
  entries_.erase(position);
}

void ClaimStore::keep_outcome(Entry& entry, RecordedOutcome outcome) {
  budget_.outcome_bytes -= entry.outcome.body.size();
  const bool too_large = outcome.body.size() > settings_.largest_outcome_bytes;
  const bool over_budget =
      budget_.outcome_bytes + outcome.body.size() > settings_.outcome_budget_bytes;
  if (too_large || over_budget) {
    outcome.body.clear();
    outcome.body_kept = false;
  }
  budget_.outcome_bytes += outcome.body.size();
  entry.outcome = std::move(outcome);
}

ClaimReply ClaimStore::claim(const ClaimRequest& request, MonotonicTime now) {
  expire(now);
  ClaimReply reply{request.address, request.claim, BootId{}, Vote::kGrant, RecordedOutcome{}};
  if (released_.contains(request.claim)) {
    reply.vote = Vote::kNotVoting;
    return reply;
  }
  const auto found = entries_.find(request.key);
  if (found == entries_.end()) {
    if (budget_.claims >= settings_.largest_claim_count) {
      reply.vote = Vote::kFull;
      return reply;
    }
    insert(request.key, Entry{request.claim, request.body_hash, now, RecordedOutcome{}});
    return reply;
  }
  const Entry& entry = found->second;
  if (entry.claim == request.claim || settings_.testing_faults.ignore_held_claims) {
    return reply;
  }
  reply.vote = entry.body_hash == request.body_hash ? Vote::kHeld : Vote::kOtherBody;
  reply.outcome = entry.outcome;
  return reply;
}

bool ClaimStore::record(const RecordRequest& request, MonotonicTime now) {
  expire(now);
  const auto found = entries_.find(request.key);
  if (found == entries_.end()) {
    insert(request.key, Entry{request.claim, request.body_hash, now, request.outcome});
    return true;
  }
  Entry& entry = found->second;
  // Only a granted claim records, and at most one claim of a key is granted, so an entry without a
  // holder (two were found in a merge) is settled by whoever records.
  if (entry.claim && entry.claim != request.claim) {
    return false;
  }
  entry.claim = request.claim;
  if (knowledge(request.outcome.state) >= knowledge(entry.outcome.state)) {
    keep_outcome(entry, request.outcome);
  }
  return true;
}

void ClaimStore::release(const ReleaseRequest& request, MonotonicTime now) {
  released_.insert_or_assign(request.claim, now);
  const auto found = entries_.find(request.key);
  if (found == entries_.end() || found->second.claim != request.claim) {
    return;
  }
  if (found->second.outcome.state == RecordedState::kRunning) {
    erase(found);
  }
}

void ClaimStore::merge(const StoredClaim& claim, MonotonicTime now) {
  const MonotonicTime created = now - claim.age;
  const auto found = entries_.find(claim.key);
  if (found == entries_.end()) {
    Entry entry{claim.claim, claim.body_hash, created, claim.outcome};
    if (!lapsed(entry, now)) {
      insert(claim.key, std::move(entry));
    }
    return;
  }
  Entry& entry = found->second;
  if (knowledge(claim.outcome.state) > knowledge(entry.outcome.state)) {
    // Only the granted claim records, so the side that knows an outcome names the true holder.
    entry.claim = claim.claim;
    entry.body_hash = claim.body_hash;
    keep_outcome(entry, claim.outcome);
    return;
  }
  const bool same_knowledge = claim.outcome.state == entry.outcome.state;
  if (same_knowledge && entry.claim != claim.claim) {
    entry.claim.reset();
  }
}

std::vector<StoredClaim> ClaimStore::page(const std::optional<ClaimKey>& after, std::size_t limit,
                                          MonotonicTime now) const {
  std::vector<StoredClaim> claims;
  auto position = after ? entries_.upper_bound(*after) : entries_.begin();
  for (; position != entries_.end() && claims.size() < limit; ++position) {
    const Entry& entry = position->second;
    claims.push_back(StoredClaim{position->first, entry.claim, entry.body_hash, now - entry.created,
                                 entry.outcome});
  }
  return claims;
}

void ClaimStore::expire(MonotonicTime now) {
  while (!by_age_.empty() && now - by_age_.begin()->first >= settings_.window) {
    erase(entries_.find(by_age_.begin()->second));
  }
  std::erase_if(released_,
                [now](const auto& item) { return now - item.second >= kReleasedMemory; });
}

}  // namespace ochrespring::ledger
