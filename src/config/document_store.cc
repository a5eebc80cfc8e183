#include "config/document_store.h"

#include <algorithm>
#include <utility>

namespace ochrespring::config {

DocumentStore::DocumentStore(std::size_t deltas_kept) : deltas_kept_(deltas_kept) {
  HashedDocument empty;
  empty.hash = content_hash(empty.document);
  current_ = std::make_shared<const HashedDocument>(std::move(empty));
}

DocumentStore::DocumentPointer DocumentStore::document() const {
  return {current_, &current_->document};
}

bool DocumentStore::adopt(fleet::FleetDocument document) {
  if (document.revision <= revision()) {
    return false;
  }
  HashedDocument hashed{std::move(document), 0};
  hashed.hash = content_hash(hashed.document);
  deltas_.clear();
  put_in_force(std::move(hashed));
  return true;
}

Result<void, ConfigError> DocumentStore::adopt(const DocumentDelta& delta) {
  BOOST_OUTCOME_TRY(after, apply_delta(*current_, delta));
  adopt_committed(std::move(after), delta);
  return outcome::success();
}

void DocumentStore::adopt_committed(HashedDocument document, std::optional<DocumentDelta> delta) {
  if (document.document.revision <= revision()) {
    return;
  }
  const bool contiguous = delta && delta->from == revision();
  if (!contiguous) {
    deltas_.clear();
  } else {
    deltas_.push_back(std::move(*delta));
  }
  if (deltas_.size() > deltas_kept_) {
    deltas_.pop_front();
  }
  put_in_force(std::move(document));
}

std::optional<std::vector<DocumentDelta>> DocumentStore::deltas_since(Revision from) const {
  const auto first = std::find_if(deltas_.begin(), deltas_.end(),
                                  [&](const DocumentDelta& delta) { return delta.from == from; });
  if (first == deltas_.end()) {
    return std::nullopt;
  }
  return std::vector<DocumentDelta>(first, deltas_.end());
}

void DocumentStore::add_observer(operator_api::RevisionObserver& observer) {
  observers_.push_back(&observer);
}

void DocumentStore::remove_observer(operator_api::RevisionObserver& observer) {
  std::erase(observers_, &observer);
}

void DocumentStore::put_in_force(HashedDocument document) {
  current_ = std::make_shared<const HashedDocument>(std::move(document));
  const DocumentPointer in_force = this->document();
  const std::vector<operator_api::RevisionObserver*> observers = observers_;
  for (operator_api::RevisionObserver* observer : observers) {
    observer->on_revision(in_force);
  }
}

}  // namespace ochrespring::config
