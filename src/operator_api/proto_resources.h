// Resources between the fleet layer's types and the schema's messages.
#pragma once

#include <optional>
#include <vector>

#include "fleet/diff.h"
#include "fleet/resource.h"

namespace ochrespring::v1 {
class Resource;
class ResourceChange;
class ResourceKey;
}  // namespace ochrespring::v1

namespace ochrespring::operator_api {

/// Resource from its message; none if the message holds none. Absent optional fields take their
/// defaults. Values out of a field's type become the nearest one, which validation then refuses.
std::optional<fleet::Resource> from_proto(const v1::Resource& message);
void to_proto(const fleet::Resource& resource, v1::Resource& message);

/// Key from its message; none if the kind is not known.
std::optional<fleet::ResourceKey> from_proto(const v1::ResourceKey& message);
void to_proto(const fleet::ResourceKey& key, v1::ResourceKey& message);

/// Number of a kind in the schema's enumeration.
int to_proto_number(fleet::ResourceKind kind);
/// Kind of a number in the schema's enumeration; none if unspecified or unknown.
std::optional<fleet::ResourceKind> kind_from_proto_number(int number);

void to_proto(const fleet::ResourceChange& change, v1::ResourceChange& message);

}  // namespace ochrespring::operator_api
