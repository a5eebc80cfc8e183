#include "config/committer.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::config {

namespace {

using operator_api::AdminErrc;
using operator_api::AdminError;
using operator_api::MutationOutcome;

constexpr double kJitter = 0.5;
constexpr unsigned kLargestBackoffShift = 5;

bool fits_head(const StoredHead& head, const ConfigSettings& settings) {
  return head.deltas.size() <= settings.head_deltas &&
         encode_head(head).size() <= settings.head_bytes;
}

}  // namespace

void Committer::mutate(const fleet::Mutation& mutation,
                       operator_api::AdminCallback<MutationOutcome> done) {
  pending_.push_back({mutation, std::move(done)});
  if (!busy_) {
    start();
  }
}

void Committer::start() {
  if (pending_.empty()) {
    busy_ = false;
    return;
  }
  busy_ = true;
  ++pending_.front().attempts;
  if (!current_()) {
    retry_or_fail({ConfigErrc::kUnavailable, "this node is not yet sure of the newest document"});
    return;
  }
  heads_.read([this](auto result) { on_head(result); });
}

void Committer::on_head(const Result<VersionedHead, ConfigError>& result) {
  if (result.has_error()) {
    retry_or_fail(result.error());
    return;
  }
  const VersionedHead& head = result.value();
  if (heads_.behind(head.head)) {
    Pending& pending = pending_.front();
    if (!std::exchange(pending.saw_older, true)) {
      retry_or_fail({ConfigErrc::kConflict, "the answer was overtaken by another change"});
      return;
    }
    // The service lost what it had accepted: nothing may be built on that.
    heads_.write_back(head, [this](auto written) {
      const ConfigError again{ConfigErrc::kConflict, "the service held an older document"};
      retry_or_fail(written.has_error() ? written.error() : again);
    });
    return;
  }
  heads_.follow(head.head, [this, head](auto followed) {
    if (followed.has_error()) {
      retry_or_fail(followed.error());
    } else if (documents_.revision() != head.head.revision) {
      retry_or_fail({ConfigErrc::kConflict, "another change came first"});
    } else {
      commit_on(head);
    }
  });
}

void Committer::commit_on(const VersionedHead& head) {
  const fleet::Mutation& mutation = pending_.front().mutation;
  const HashedDocument& before = documents_.hashed();
  auto applied = fleet::apply(before.document, mutation);
  if (applied.has_error()) {
    ++statistics_.refused;
    const fleet::FleetError& refusal = applied.error();
    finish(outcome::failure(AdminError{AdminErrc::kRefused, refusal.message, refusal}));
    return;
  }
  fleet::FleetDocument& after = applied.value();
  if (after.revision == before.document.revision) {
    const auto known = fleet::find_applied(before.document, mutation.id);
    statistics_.repeated += known ? 1 : 0;
    finish(known ? MutationOutcome{known->revision, !pending_.front().effect_unknown, true}
                 : MutationOutcome{after.revision, false, false});
    return;
  }
  std::optional<DocumentDelta> delta = make_delta(before, after);
  HashedDocument document{std::move(after), 0};
  document.hash = delta ? delta->result_hash : content_hash(document.document);
  StoredHead next = head.head;
  next.revision = document.document.revision;
  next.document_hash = document.hash;
  if (delta) {
    next.deltas.push_back(*delta);
  }
  if (delta && fits_head(next, settings_)) {
    swap(head, next, std::move(document), std::move(delta));
  } else {
    commit_with_checkpoint(head, document, std::move(delta));
  }
}

void Committer::commit_with_checkpoint(const VersionedHead& head, const HashedDocument& document,
                                       std::optional<DocumentDelta> delta) {
  checkpoints_.write(document, [this, head, document, delta = std::move(delta)](auto result) {
    if (result.has_error()) {
      retry_or_fail(result.error());
      return;
    }
    ++statistics_.checkpoints;
    StoredHead next;
    next.revision = document.document.revision;
    next.document_hash = document.hash;
    next.checkpoint = result.value();
    swap(head, next, document, delta);
  });
}

void Committer::swap(const VersionedHead& before, const StoredHead& after, HashedDocument document,
                     std::optional<DocumentDelta> delta) {
  const bool new_checkpoint = !(before.head.checkpoint == after.checkpoint);
  heads_.swap(before.version, after,
              [this, before, after, new_checkpoint, document = std::move(document),
               delta = std::move(delta)](auto swapped) {
                if (swapped.has_error()) {
                  const bool conflict = swapped.error().code == ConfigErrc::kConflict;
                  if (conflict && new_checkpoint && !pending_.front().effect_unknown) {
                    checkpoints_.erase(after.checkpoint);
                  }
                  retry_or_fail(swapped.error());
                  return;
                }
                if (new_checkpoint) {
                  checkpoints_.erase(before.head.checkpoint);
                }
                ++statistics_.accepted;
                documents_.adopt_committed(document, delta);
                finish(MutationOutcome{document.document.revision, false, true});
              });
}

void Committer::retry_or_fail(const ConfigError& error) {
  Pending& pending = pending_.front();
  if (error.code == ConfigErrc::kUnknownEffect) {
    // The call may take effect at any time from now on. Reading the head and, if the mutation is
    // not there, repeating it with the same id is safe: only one of the two can be accepted.
    ++statistics_.lost_answers;
    pending.effect_unknown = true;
  }
  statistics_.conflicts += error.code == ConfigErrc::kConflict ? 1 : 0;
  const bool final_error = error.code == ConfigErrc::kUnsupportedFormat;
  if (!final_error && pending.attempts < settings_.commit_attempts) {
    const auto shift = std::min<std::size_t>(pending.attempts, kLargestBackoffShift);
    const Duration backoff = settings_.commit_backoff * (1U << shift);
    retry_.arm(random_.jitter(backoff, kJitter), [this] { start(); });
    return;
  }
  ++statistics_.failures;
  AdminErrc code = AdminErrc::kUnavailable;
  if (pending.effect_unknown) {
    code = AdminErrc::kUnknownEffect;
  } else if (error.code == ConfigErrc::kRateLimited) {
    code = AdminErrc::kRateLimited;
  }
  finish(outcome::failure(AdminError{code, error.message, std::nullopt}));
}

void Committer::finish(Result<MutationOutcome, AdminError> result) {
  const auto done = std::move(pending_.front().done);
  pending_.pop_front();
  start();
  done(std::move(result));
}

}  // namespace ochrespring::config
