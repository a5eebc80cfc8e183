#include "fleet/resource.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "fleet/collections.h"

namespace ochrespring::fleet {

namespace {

template <class Enumeration>
struct Spelling {
  Enumeration value;
  std::string_view name;
};

constexpr std::array kRoleNames = {
    Spelling<EngineRole>{EngineRole::kMixed, "mixed"},
    Spelling<EngineRole>{EngineRole::kPrefill, "prefill"},
    Spelling<EngineRole>{EngineRole::kDecode, "decode"},
    Spelling<EngineRole>{EngineRole::kOrdinary, "ordinary"},
};

constexpr std::array kServiceKindNames = {
    Spelling<ServiceKind>{ServiceKind::kModel, "model"},
    Spelling<ServiceKind>{ServiceKind::kOrdinary, "ordinary"},
};

struct KindName {
  ResourceKind kind;
  std::string_view singular;
  std::string_view plural;
};

constexpr std::array kKindNames = {
    KindName{ResourceKind::kPolicy, "policy", "policy"},
    KindName{ResourceKind::kTenant, "tenant", "tenants"},
    KindName{ResourceKind::kService, "service", "services"},
    KindName{ResourceKind::kModel, "model", "models"},
    KindName{ResourceKind::kVersion, "version", "versions"},
    KindName{ResourceKind::kAdapter, "adapter", "adapters"},
    KindName{ResourceKind::kEngine, "engine", "engines"},
};

template <class Enumeration, std::size_t kSize>
std::string_view spell(const std::array<Spelling<Enumeration>, kSize>& spellings,
                       Enumeration value) {
  for (const auto& spelling : spellings) {
    if (spelling.value == value) {
      return spelling.name;
    }
  }
  return "invalid";
}

template <class Enumeration, std::size_t kSize>
std::optional<Enumeration> parse(const std::array<Spelling<Enumeration>, kSize>& spellings,
                                 std::string_view name) {
  for (const auto& spelling : spellings) {
    if (spelling.name == name) {
      return spelling.value;
    }
  }
  return std::nullopt;
}

template <class T>
void put_into(std::vector<T>& collection, T element) {
  const std::string name = name_of(element);
  const auto position = lower_bound_by_name(collection, name);
  if (position != collection.end() && name_of(*position) == name) {
    *position = std::move(element);
  } else {
    collection.insert(position, std::move(element));
  }
}

}  // namespace

std::string_view to_string(ResourceKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return index < kKindNames.size() ? kKindNames[index].singular : "invalid";
}

std::string_view collection_name(ResourceKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return index < kKindNames.size() ? kKindNames[index].plural : "invalid";
}

std::optional<ResourceKind> resource_kind(std::string_view name) {
  for (const KindName& names : kKindNames) {
    if (names.singular == name || names.plural == name) {
      return names.kind;
    }
  }
  return std::nullopt;
}

std::string_view to_string(EngineRole role) {
  return spell(kRoleNames, role);
}

std::optional<EngineRole> engine_role(std::string_view name) {
  return parse(kRoleNames, name);
}

std::string_view to_string(ServiceKind kind) {
  return spell(kServiceKindNames, kind);
}

std::optional<ServiceKind> service_kind(std::string_view name) {
  return parse(kServiceKindNames, name);
}

ResourceKey key_of(const Resource& resource) {
  const auto kind = static_cast<ResourceKind>(resource.index());
  return {kind,
          std::visit([](const auto& value) -> std::string { return name_of(value); }, resource)};
}

std::string path_of(const ResourceKey& key) {
  std::string path(collection_name(key.kind));
  if (key.kind != ResourceKind::kPolicy) {
    path += "[" + key.name + "]";
  }
  return path;
}

Revision changed_at(const Resource& resource) {
  return std::visit([](const auto& value) { return value.changed_at; }, resource);
}

Resource with_changed_at(Resource resource, Revision revision) {
  std::visit([revision](auto& value) { value.changed_at = revision; }, resource);
  return resource;
}

std::optional<Resource> find_resource(const FleetDocument& document, const ResourceKey& key) {
  if (key.kind == ResourceKind::kPolicy) {
    return key.name == kPolicyName ? std::optional<Resource>(document.policy) : std::nullopt;
  }
  std::optional<Resource> found;
  with_collection(document, key.kind, [&](const auto& collection) {
    for (const auto& element : collection) {
      if (name_of(element) == key.name) {
        found = element;
        return;
      }
    }
  });
  return found;
}

std::vector<Resource> list_resources(const FleetDocument& document, ResourceKind kind) {
  if (kind == ResourceKind::kPolicy) {
    return {document.policy};
  }
  std::vector<Resource> resources;
  with_collection(document, kind, [&](auto collection) {
    std::sort(collection.begin(), collection.end(),
              [](const auto& left, const auto& right) { return name_of(left) < name_of(right); });
    resources.assign(collection.begin(), collection.end());
  });
  return resources;
}

void sort_resources(FleetDocument& document) {
  for (const ResourceKind kind : kResourceKinds) {
    with_collection(document, kind, [](auto& collection) { sort_by_name(collection); });
  }
}

void put_resource(FleetDocument& document, Resource resource) {
  const auto kind = static_cast<ResourceKind>(resource.index());
  if (auto* policy = std::get_if<Policy>(&resource)) {
    document.policy = *policy;
    return;
  }
  with_collection(document, kind, [&resource](auto& collection) {
    using Element = typename std::decay_t<decltype(collection)>::value_type;
    put_into(collection, std::get<Element>(std::move(resource)));
  });
}

bool erase_resource(FleetDocument& document, const ResourceKey& key) {
  bool erased = false;
  with_collection(document, key.kind, [&](auto& collection) {
    const auto position = lower_bound_by_name(collection, key.name);
    if (position != collection.end() && name_of(*position) == key.name) {
      collection.erase(position);
      erased = true;
    }
  });
  return erased;
}

}  // namespace ochrespring::fleet
