// The document's collections by kind, for code that works on all of them. Internal to the fleet
// layer.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/resource.h"

namespace ochrespring::fleet {

/// Name of a resource within its kind; a reference where the resource holds it whole, since the
/// largest collections are searched and ordered by it.
inline std::string name_of(const Policy& /*policy*/) {
  return std::string(kPolicyName);
}
inline std::string name_of(const ModelVersion& version) {
  return version.model.value() + "/" + version.version.value();
}
inline const std::string& name_of(const Engine& engine) {
  return engine.id.value();
}
template <class T>
const std::string& name_of(const T& resource) {
  return resource.name.value();
}

/// Orders by name.
struct NameOrder {
  template <class T>
  bool operator()(const T& left, const T& right) const {
    return name_of(left) < name_of(right);
  }
};

/// Orders a collection by name; cheap if it is ordered.
template <class T>
void sort_by_name(std::vector<T>& collection) {
  if (!std::is_sorted(collection.begin(), collection.end(), NameOrder())) {
    std::stable_sort(collection.begin(), collection.end(), NameOrder());
  }
}

/// Calls `use` with the collection of a kind other than the policy.
template <class Document, class Use>
void with_collection(Document& document, ResourceKind kind, Use use) {
  switch (kind) {
    case ResourceKind::kPolicy:
      return;
    case ResourceKind::kTenant:
      return use(document.tenants);
    case ResourceKind::kService:
      return use(document.services);
    case ResourceKind::kModel:
      return use(document.models);
    case ResourceKind::kVersion:
      return use(document.versions);
    case ResourceKind::kAdapter:
      return use(document.adapters);
    case ResourceKind::kEngine:
      return use(document.engines);
  }
}

/// First element whose name is not before `name`; the collection is ordered.
template <class Collection>
auto lower_bound_by_name(Collection& collection, const std::string& name) {
  return std::lower_bound(
      collection.begin(), collection.end(), name,
      [](const auto& element, const std::string& wanted) { return name_of(element) < wanted; });
}

}  // namespace ochrespring::fleet
