#include "fleet/diff.h"

#include <algorithm>
#include <utility>

#include "fleet/collections.h"
#include "fleet/fields.h"
#include "fleet/text_values.h"

namespace ochrespring::fleet {

namespace {

/// Visitor that lists fields as text, in order of description.
class FieldLister {
 public:
  struct Entry {
    std::string field;
    std::string value;
  };

  explicit FieldLister(std::vector<Entry>& entries, std::string prefix = "")
      : entries_(entries), prefix_(std::move(prefix)) {}

  template <class Name>
  void identity(std::string_view field, const Name& name) {
    add(field, name.value());
  }
  template <class Name>
  void reference(std::string_view field, const Name& name, Presence /*presence*/) {
    add(field, name.value());
  }
  template <class Name>
  void references(std::string_view field, const std::vector<Name>& names) {
    std::string joined;
    for (const Name& name : names) {
      joined += (joined.empty() ? "" : ", ") + name.value();
    }
    add(field, "[" + joined + "]");
  }
  void endpoint(std::string_view field, const Endpoint& endpoint) { add(field, endpoint.value()); }
  template <class Enumeration>
  void choice(std::string_view field, Enumeration value) {
    add(field, std::string(to_string(value)));
  }
  void flag(std::string_view field, bool value) { add(field, value ? "true" : "false"); }
  void status_flag(std::string_view field, bool value) { flag(field, value); }
  template <class Number>
  void number(std::string_view field, Number value, Bounds<Number> /*allowed*/) {
    if constexpr (std::is_floating_point_v<Number>) {
      add(field, format_real(value));
    } else {
      add(field, std::to_string(value));
    }
  }
  void bytes(std::string_view field, std::uint64_t value, Bounds<std::uint64_t> /*allowed*/) {
    add(field, format_bytes(value));
  }
  void duration(std::string_view field, Duration value, Bounds<Duration> /*allowed*/) {
    add(field, format_duration(value));
  }
  template <class Struct>
  void group(std::string_view field, const Struct& nested) {
    FieldLister lister(entries_, prefix_ + std::string(field) + ".");
    visit_fields(lister, nested);
  }

 private:
  void add(std::string_view field, std::string value) {
    entries_.push_back({prefix_ + std::string(field), std::move(value)});
  }

  std::vector<Entry>& entries_;
  std::string prefix_;
};

std::vector<FieldLister::Entry> list_fields(const Resource& resource) {
  std::vector<FieldLister::Entry> entries;
  FieldLister lister(entries);
  std::visit([&lister](const auto& value) { visit_fields(lister, value); }, resource);
  return entries;
}

template <class T>
bool same_content(const T& left, T right) {
  right.changed_at = left.changed_at;
  return left == right;
}

/// Pointers to a collection's elements, ordered by name.
template <class T>
std::vector<const T*> ordered(const std::vector<T>& collection) {
  std::vector<const T*> elements;
  elements.reserve(collection.size());
  for (const T& element : collection) {
    elements.push_back(&element);
  }
  const auto order = [](const T* left, const T* right) { return NameOrder()(*left, *right); };
  if (!std::is_sorted(elements.begin(), elements.end(), order)) {
    std::stable_sort(elements.begin(), elements.end(), order);
  }
  return elements;
}

/// Compares two collections of one kind. Copies only what differs: documents may be large.
template <class T>
void diff_collections(const std::vector<T>& before, const std::vector<T>& after,
                      std::vector<ResourceChange>& changes) {
  const std::vector<const T*> old_elements = ordered(before);
  const std::vector<const T*> new_elements = ordered(after);
  auto old_element = old_elements.begin();
  auto new_element = new_elements.begin();
  while (old_element != old_elements.end() || new_element != new_elements.end()) {
    const bool only_old =
        new_element == new_elements.end() ||
        (old_element != old_elements.end() && NameOrder()(**old_element, **new_element));
    if (only_old) {
      const Resource resource = **old_element++;
      changes.push_back({ChangeKind::kDeleted, key_of(resource), resource, std::nullopt});
      continue;
    }
    if (old_element == old_elements.end() || NameOrder()(**new_element, **old_element)) {
      const Resource resource = **new_element++;
      changes.push_back({ChangeKind::kCreated, key_of(resource), std::nullopt, resource});
      continue;
    }
    const T& old_value = **old_element++;
    const T& new_value = **new_element++;
    if (!(old_value == new_value) && !same_content(old_value, new_value)) {
      const Resource resource = new_value;
      changes.push_back({ChangeKind::kUpdated, key_of(resource), Resource(old_value), resource});
    }
  }
}

}  // namespace

std::vector<ResourceChange> diff(const FleetDocument& before, const FleetDocument& after) {
  std::vector<ResourceChange> changes;
  diff_collections(std::vector{before.policy}, std::vector{after.policy}, changes);
  diff_collections(before.tenants, after.tenants, changes);
  diff_collections(before.services, after.services, changes);
  diff_collections(before.models, after.models, changes);
  diff_collections(before.versions, after.versions, changes);
  diff_collections(before.adapters, after.adapters, changes);
  diff_collections(before.engines, after.engines, changes);
  return changes;
}

std::vector<FieldChange> changed_fields(const ResourceChange& change) {
  std::vector<FieldChange> fields;
  if (!change.before || !change.after) {
    return fields;
  }
  const auto before = list_fields(*change.before);
  const auto after = list_fields(*change.after);
  for (std::size_t i = 0; i < std::min(before.size(), after.size()); ++i) {
    if (before[i].value != after[i].value) {
      fields.push_back({before[i].field, before[i].value, after[i].value});
    }
  }
  return fields;
}

std::string summarize(const std::vector<ResourceChange>& changes) {
  constexpr std::size_t kNamedChanges = 3;
  std::string summary;
  for (std::size_t i = 0; i < std::min(changes.size(), kNamedChanges); ++i) {
    const ResourceChange& change = changes[i];
    summary += summary.empty() ? "" : ", ";
    summary += to_string(change.change);
    summary += " " + std::string(to_string(change.key.kind)) + " " + change.key.name;
  }
  if (changes.size() > kNamedChanges) {
    summary += " and " + std::to_string(changes.size() - kNamedChanges) + " more";
  }
  return summary;
}

std::string_view to_string(ChangeKind change) {
  switch (change) {
    case ChangeKind::kCreated:
      return "created";
    case ChangeKind::kUpdated:
      return "updated";
    case ChangeKind::kDeleted:
      return "deleted";
  }
  return "invalid";
}

}  // namespace ochrespring::fleet
