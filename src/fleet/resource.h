// Resources of the fleet document by kind and name, independent of their types.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/types.h"

namespace ochrespring::fleet {

/// Kinds in the order in which they refer to each other: a kind refers to earlier ones only.
enum class ResourceKind : std::uint8_t {
  kPolicy,
  kTenant,
  kService,
  kModel,
  kVersion,
  kAdapter,
  kEngine,
};

inline constexpr std::array kResourceKinds = {
    ResourceKind::kPolicy,  ResourceKind::kTenant,  ResourceKind::kService, ResourceKind::kModel,
    ResourceKind::kVersion, ResourceKind::kAdapter, ResourceKind::kEngine,
};

/// The one policy's name.
inline constexpr std::string_view kPolicyName = "default";

/// Any resource; the index equals the ResourceKind.
using Resource = std::variant<Policy, Tenant, Service, Model, ModelVersion, Adapter, Engine>;

/// Names one resource. A version's name is `MODEL/VERSION`.
struct ResourceKey {
  ResourceKind kind = ResourceKind::kService;
  std::string name;

  auto operator<=>(const ResourceKey&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& kind& name;
  }
};

/// Lower-case singular name of a kind, such as `service`.
std::string_view to_string(ResourceKind kind);
/// Lower-case plural name of a kind, such as `services`; the collection's name in files.
std::string_view collection_name(ResourceKind kind);
/// Kind from its singular or plural name, or none.
std::optional<ResourceKind> resource_kind(std::string_view name);

std::string_view to_string(EngineRole role);
std::optional<EngineRole> engine_role(std::string_view name);
std::string_view to_string(ServiceKind kind);
std::optional<ServiceKind> service_kind(std::string_view name);

/// Kind and name of a resource.
ResourceKey key_of(const Resource& resource);
/// Path of a resource in a document, such as `engines[drafting-1]` or `policy`.
std::string path_of(const ResourceKey& key);
/// Revision that last changed a resource.
Revision changed_at(const Resource& resource);
/// The resource with its `changed_at` replaced.
Resource with_changed_at(Resource resource, Revision revision);

/// The resource of that key, or none. The policy always exists.
std::optional<Resource> find_resource(const FleetDocument& document, const ResourceKey& key);
/// All resources of a kind, ordered by name.
std::vector<Resource> list_resources(const FleetDocument& document, ResourceKind kind);

/// Orders every collection by name, as put_resource() and erase_resource() need it.
void sort_resources(FleetDocument& document);
/// Creates or replaces a resource, keeping collections ordered by name.
void put_resource(FleetDocument& document, Resource resource);
/// Removes a resource; false if there was none. The policy cannot be removed.
bool erase_resource(FleetDocument& document, const ResourceKey& key);

}  // namespace ochrespring::fleet
