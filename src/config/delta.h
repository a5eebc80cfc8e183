// One revision's change to the fleet document, as it is spread between nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "config/errc.h"
#include "fleet/resource.h"
#include "fleet/types.h"

namespace ochrespring::config {

/// A resource as it is after the change, or its removal.
struct ResourceEdit {
  fleet::ResourceKey key;
  std::optional<fleet::Resource> after;

  bool operator==(const ResourceEdit&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& after;
  }
};

/// Leads from the document at `from` to the one at `to`. Carries results, not commands, so that
/// nodes of different program versions end with the same document.
struct DocumentDelta {
  Revision from;
  Revision to;
  std::vector<ResourceEdit> edits;
  fleet::AppliedMutation mutation;
  std::uint64_t result_hash = 0;  ///< content_hash() of the document at `to`.

  bool operator==(const DocumentDelta&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& from& to& edits& mutation& result_hash;
  }
};

/// Hash of a document's resources; changing one resource changes it by that resource's share, so
/// that it is kept up to date without reading the whole document.
std::uint64_t content_hash(const fleet::FleetDocument& document);

/// A document and its content hash.
struct HashedDocument {
  fleet::FleetDocument document;
  std::uint64_t hash = 0;
};

/// Delta between two successive documents, or none if it would not lead exactly to `after`.
std::optional<DocumentDelta> make_delta(const HashedDocument& before,
                                        const fleet::FleetDocument& after);

/// The document after the delta. Errors: kWrongBase, kMismatch.
Result<HashedDocument, ConfigError> apply_delta(const HashedDocument& before,
                                                const DocumentDelta& delta);

}  // namespace ochrespring::config
