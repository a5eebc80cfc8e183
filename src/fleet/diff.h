// Differences between fleet documents, for operators and for spreading changes as deltas.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/errc.h"
#include "fleet/resource.h"
#include "fleet/types.h"

namespace ochrespring::fleet {

enum class ChangeKind : std::uint8_t { kCreated, kUpdated, kDeleted };

std::string_view to_string(ChangeKind change);

/// One changed field of an updated resource, for people.
struct FieldChange {
  std::string field;
  std::string before;
  std::string after;

  bool operator==(const FieldChange&) const = default;
};

/// One resource that differs.
struct ResourceChange {
  ChangeKind change = ChangeKind::kUpdated;
  ResourceKey key;
  std::optional<Resource> before;
  std::optional<Resource> after;

  bool operator==(const ResourceChange&) const = default;
};

/// Resources that differ, ordered by kind and name; `changed_at` alone is no difference.
std::vector<ResourceChange> diff(const FleetDocument& before, const FleetDocument& after);
/// Fields that differ in an updated resource.
std::vector<FieldChange> changed_fields(const ResourceChange& change);
/// One line about changes, naming the first few.
std::string summarize(const std::vector<ResourceChange>& changes);

}  // namespace ochrespring::fleet
