// The document in force at this node. Its revision only ever grows.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "config/delta.h"
#include "operator_api/fleet_admin.h"

namespace ochrespring::config {

/// Used on the control loop only.
class DocumentStore {
 public:
  using DocumentPointer = std::shared_ptr<const fleet::FleetDocument>;

  explicit DocumentStore(std::size_t deltas_kept);

  /// Never null; revision zero before the first configuration.
  DocumentPointer document() const;
  const HashedDocument& hashed() const { return *current_; }
  Revision revision() const { return current_->document.revision; }

  /// Puts a whole document in force if it is newer; returns whether it was.
  bool adopt(fleet::FleetDocument document);
  /// Puts the delta's result in force. Errors: kWrongBase (nothing to do if the delta is older),
  /// kMismatch (a whole document is needed).
  Result<void, ConfigError> adopt(const DocumentDelta& delta);
  /// Puts into force a document this node has just committed, with the delta that led to it.
  void adopt_committed(HashedDocument document, std::optional<DocumentDelta> delta);

  /// Deltas that lead from `from` to the document in force, or none if they are not kept.
  std::optional<std::vector<DocumentDelta>> deltas_since(Revision from) const;

  void add_observer(operator_api::RevisionObserver& observer);
  void remove_observer(operator_api::RevisionObserver& observer);

 private:
  void put_in_force(HashedDocument document);

  std::size_t deltas_kept_;
  std::shared_ptr<const HashedDocument> current_;
  std::deque<DocumentDelta> deltas_;  ///< Contiguous, ending at the document in force.
  std::vector<operator_api::RevisionObserver*> observers_;
};

}  // namespace ochrespring::config
