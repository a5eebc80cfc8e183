#include "config/delta.h"

#include <utility>

#include "base/hash.h"
#include "fleet/diff.h"
#include "wire/codec.h"

namespace ochrespring::config {

namespace {

std::uint64_t resource_hash(const fleet::Resource& resource) {
  return stable_hash(wire::encode(resource));
}

void append_mutation(fleet::FleetDocument& document, const fleet::AppliedMutation& mutation) {
  document.recent_mutations.push_back(mutation);
  if (document.recent_mutations.size() > fleet::kRecentMutations) {
    document.recent_mutations.erase(document.recent_mutations.begin());
  }
}

}  // namespace

std::uint64_t content_hash(const fleet::FleetDocument& document) {
  std::uint64_t hash = 0;
  for (const fleet::ResourceKind kind : fleet::kResourceKinds) {
    for (const fleet::Resource& resource : fleet::list_resources(document, kind)) {
      hash ^= resource_hash(resource);
    }
  }
  return hash;
}

std::optional<DocumentDelta> make_delta(const HashedDocument& before,
                                        const fleet::FleetDocument& after) {
  if (after.recent_mutations.empty()) {
    return std::nullopt;
  }
  DocumentDelta delta;
  delta.from = before.document.revision;
  delta.to = after.revision;
  delta.mutation = after.recent_mutations.back();
  delta.result_hash = before.hash;
  for (fleet::ResourceChange& change : fleet::diff(before.document, after)) {
    if (change.before) {
      delta.result_hash ^= resource_hash(*change.before);
    }
    if (change.after) {
      delta.result_hash ^= resource_hash(*change.after);
    }
    delta.edits.push_back({std::move(change.key), std::move(change.after)});
  }
  const auto result = apply_delta(before, delta);
  if (result.has_error() || !(result.value().document == after)) {
    return std::nullopt;
  }
  return delta;
}

Result<HashedDocument, ConfigError> apply_delta(const HashedDocument& before,
                                                const DocumentDelta& delta) {
  if (delta.from != before.document.revision || delta.to <= delta.from) {
    return fail(ConfigErrc::kWrongBase, "the delta starts at another revision");
  }
  HashedDocument after = before;
  for (const ResourceEdit& edit : delta.edits) {
    const auto existing = fleet::find_resource(after.document, edit.key);
    if (existing) {
      after.hash ^= resource_hash(*existing);
    }
    if (edit.after) {
      after.hash ^= resource_hash(*edit.after);
      fleet::put_resource(after.document, *edit.after);
    } else {
      fleet::erase_resource(after.document, edit.key);
    }
  }
  if (after.hash != delta.result_hash) {
    return fail(ConfigErrc::kMismatch, "the delta leads to another document than its author's");
  }
  after.document.revision = delta.to;
  append_mutation(after.document, delta.mutation);
  return after;
}

}  // namespace ochrespring::config
