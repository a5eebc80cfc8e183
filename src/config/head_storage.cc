#include "config/head_storage.h"

#include <algorithm>
#include <utility>

namespace ochrespring::config {

Result<VersionedHead, ConfigError> open_head(const std::optional<external::KeyValueEntry>& entry) {
  if (!entry || entry->version == external::KeyVersion()) {
    return VersionedHead{};
  }
  BOOST_OUTCOME_TRY(head, decode_head(entry->value));
  return VersionedHead{entry->version, std::move(head)};
}

void HeadStorage::read(Callback<VersionedHead> done) {
  store_.get(kHeadKey, [done = std::move(done), guard = std::weak_ptr<bool>(alive_)](auto result) {
    if (guard.expired()) {
      return;
    }
    if (result.has_error()) {
      done(outcome::failure(from_platform(result.error())));
      return;
    }
    done(open_head(result.value()));
  });
}

void HeadStorage::swap(external::KeyVersion expected, const StoredHead& head, Callback<void> done) {
  store_.compare_and_swap(
      kHeadKey, expected, encode_head(head), std::nullopt,
      [done = std::move(done), guard = std::weak_ptr<bool>(alive_)](auto result) {
        if (guard.expired()) {
          return;
        }
        if (result.has_error()) {
          done(outcome::failure(from_platform(result.error())));
        } else if (!result.value().swapped) {
          done(fail(ConfigErrc::kConflict, "another change came first"));
        } else {
          done(outcome::success());
        }
      });
}

Result<void, ConfigError> HeadStorage::adopt_deltas(const StoredHead& head) {
  for (const DocumentDelta& delta : head.deltas) {
    if (delta.to > documents_.revision()) {
      BOOST_OUTCOME_TRY(documents_.adopt(delta));
    }
  }
  if (documents_.revision() < head.revision) {
    return fail(ConfigErrc::kWrongBase, "the head's deltas do not reach its revision");
  }
  return outcome::success();
}

void HeadStorage::follow(const StoredHead& head, Callback<void> done) {
  if (head.revision <= documents_.revision() || adopt_deltas(head).has_value()) {
    done(outcome::success());
    return;
  }
  checkpoints_.read(head.checkpoint, [this, head, done = std::move(done),
                                      guard = std::weak_ptr<bool>(alive_)](auto result) {
    if (guard.expired()) {
      return;
    }
    if (result.has_error()) {
      done(outcome::failure(std::move(result).error()));
      return;
    }
    documents_.adopt(std::move(result).value());
    done(adopt_deltas(head));
  });
}

bool HeadStorage::behind(const StoredHead& head) const {
  const bool older = head.revision < documents_.revision();
  const bool diverged = head.revision == documents_.revision() && head.revision != Revision() &&
                        head.document_hash != documents_.hashed().hash;
  return older || diverged;
}

void HeadStorage::write_back(const VersionedHead& older, Callback<void> done) {
  HashedDocument document = documents_.hashed();
  if (older.head.revision == document.document.revision) {
    // Another document under the same revision: ours goes in above both.
    document.document.revision = document.document.revision.next();
  }
  checkpoints_.write(document, [this, older, document, done = std::move(done),
                                guard = std::weak_ptr<bool>(alive_)](auto result) {
    if (guard.expired()) {
      return;
    }
    if (result.has_error()) {
      done(outcome::failure(std::move(result).error()));
      return;
    }
    StoredHead head;
    head.revision = document.document.revision;
    head.document_hash = document.hash;
    head.checkpoint = result.value();
    swap(older.version, head, [this, head, document, older, done](auto swapped) {
      if (swapped.has_error() && swapped.error().code == ConfigErrc::kConflict) {
        checkpoints_.erase(head.checkpoint);
      }
      if (swapped.has_value()) {
        checkpoints_.erase(older.head.checkpoint);
        documents_.adopt_committed(document, std::nullopt);
      }
      done(std::move(swapped));
    });
  });
}

}  // namespace ochrespring::config
