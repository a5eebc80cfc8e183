#include "operator_api/proto_resources.h"

#include <google/protobuf/duration.pb.h>
#include <google/protobuf/message.h>

#include <algorithm>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>

#include "fleet/fields.h"
#include "ochrespring/v1/fleet_service.pb.h"
#include "operator_api/proto_time.h"

namespace ochrespring::operator_api {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

/// The schema's enumerations begin with an unspecified value; the fleet layer's do not.
constexpr int kFirstEnumerator = 1;
constexpr const char* kChangedAt = "changed_at";

/// Finds a field by the name that the fleet layer and the schema share.
const FieldDescriptor* field_of(const Message& message, std::string_view name) {
  const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(std::string(name));
  GOOGLE_CHECK(field != nullptr) << "the schema lacks field " << std::string(name);
  return field;
}

/// Visitor that fills a fleet type from a message. Absent fields keep their defaults.
class MessageReader {
 public:
  explicit MessageReader(const Message& message)
      : message_(message), reflection_(*message.GetReflection()) {}

  template <class Name>
  void identity(std::string_view field, Name& name) {
    name = Name(reflection_.GetString(message_, field_of(message_, field)));
  }
  template <class Name>
  void reference(std::string_view field, Name& name, fleet::Presence /*presence*/) {
    identity(field, name);
  }
  template <class Name>
  void references(std::string_view field, std::vector<Name>& names) {
    const FieldDescriptor* descriptor = field_of(message_, field);
    for (int i = 0; i < reflection_.FieldSize(message_, descriptor); ++i) {
      names.emplace_back(reflection_.GetRepeatedString(message_, descriptor, i));
    }
  }
  void endpoint(std::string_view field, Endpoint& endpoint) { identity(field, endpoint); }
  template <class Enumeration>
  void choice(std::string_view field, Enumeration& value) {
    const int number = reflection_.GetEnumValue(message_, field_of(message_, field));
    if (number != 0) {
      constexpr int kHighest = std::numeric_limits<std::underlying_type_t<Enumeration>>::max();
      value = static_cast<Enumeration>(std::clamp(number - kFirstEnumerator, 0, kHighest));
    }
  }
  void flag(std::string_view field, bool& value) {
    if (const FieldDescriptor* descriptor = present(field)) {
      value = reflection_.GetBool(message_, descriptor);
    }
  }
  void status_flag(std::string_view field, bool& value) { flag(field, value); }
  template <class Number>
  void number(std::string_view field, Number& value, fleet::Bounds<Number> /*allowed*/) {
    const FieldDescriptor* descriptor = present(field);
    if (descriptor == nullptr) {
      return;
    }
    if constexpr (std::is_floating_point_v<Number>) {
      value = reflection_.GetDouble(message_, descriptor);
    } else {
      constexpr std::uint32_t kHighest = std::numeric_limits<Number>::max();
      value = static_cast<Number>(std::min(reflection_.GetUInt32(message_, descriptor), kHighest));
    }
  }
  void bytes(std::string_view field, std::uint64_t& value,
             fleet::Bounds<std::uint64_t> /*allowed*/) {
    if (const FieldDescriptor* descriptor = present(field)) {
      value = reflection_.GetUInt64(message_, descriptor);
    }
  }
  void duration(std::string_view field, Duration& value, fleet::Bounds<Duration> /*allowed*/) {
    if (const FieldDescriptor* descriptor = present(field)) {
      value = from_proto_duration(static_cast<const google::protobuf::Duration&>(
          reflection_.GetMessage(message_, descriptor)));
    }
  }
  template <class Struct>
  void group(std::string_view field, Struct& nested) {
    if (const FieldDescriptor* descriptor = present(field)) {
      MessageReader reader(reflection_.GetMessage(message_, descriptor));
      fleet::visit_fields(reader, nested);
    }
  }

 private:
  /// The field's descriptor, or null if its absence means the default.
  const FieldDescriptor* present(std::string_view name) const {
    const FieldDescriptor* descriptor = field_of(message_, name);
    const bool absent = descriptor->has_presence() && !reflection_.HasField(message_, descriptor);
    return absent ? nullptr : descriptor;
  }

  const Message& message_;
  const Reflection& reflection_;
};

/// Visitor that fills a message from a fleet type.
class MessageWriter {
 public:
  explicit MessageWriter(Message& message)
      : message_(message), reflection_(*message.GetReflection()) {}

  template <class Name>
  void identity(std::string_view field, const Name& name) {
    reflection_.SetString(&message_, field_of(message_, field), name.value());
  }
  template <class Name>
  void reference(std::string_view field, const Name& name, fleet::Presence /*presence*/) {
    identity(field, name);
  }
  template <class Name>
  void references(std::string_view field, const std::vector<Name>& names) {
    for (const Name& name : names) {
      reflection_.AddString(&message_, field_of(message_, field), name.value());
    }
  }
  void endpoint(std::string_view field, const Endpoint& endpoint) { identity(field, endpoint); }
  template <class Enumeration>
  void choice(std::string_view field, Enumeration value) {
    reflection_.SetEnumValue(&message_, field_of(message_, field),
                             static_cast<int>(value) + kFirstEnumerator);
  }
  void flag(std::string_view field, bool value) {
    reflection_.SetBool(&message_, field_of(message_, field), value);
  }
  void status_flag(std::string_view field, bool value) { flag(field, value); }
  template <class Number>
  void number(std::string_view field, Number value, fleet::Bounds<Number> /*allowed*/) {
    if constexpr (std::is_floating_point_v<Number>) {
      reflection_.SetDouble(&message_, field_of(message_, field), value);
    } else {
      reflection_.SetUInt32(&message_, field_of(message_, field), value);
    }
  }
  void bytes(std::string_view field, std::uint64_t value,
             fleet::Bounds<std::uint64_t> /*allowed*/) {
    reflection_.SetUInt64(&message_, field_of(message_, field), value);
  }
  void duration(std::string_view field, Duration value, fleet::Bounds<Duration> /*allowed*/) {
    Message* nested = reflection_.MutableMessage(&message_, field_of(message_, field));
    to_proto_duration(value, static_cast<google::protobuf::Duration&>(*nested));
  }
  template <class Struct>
  void group(std::string_view field, const Struct& nested) {
    MessageWriter writer(*reflection_.MutableMessage(&message_, field_of(message_, field)));
    fleet::visit_fields(writer, nested);
  }

 private:
  Message& message_;
  const Reflection& reflection_;
};

template <class T>
T read(const Message& message) {
  T value;
  MessageReader reader(message);
  fleet::visit_fields(reader, value);
  value.changed_at =
      Revision(message.GetReflection()->GetUInt64(message, field_of(message, kChangedAt)));
  return value;
}

template <class T>
void write(const T& value, Message& message) {
  MessageWriter writer(message);
  fleet::visit_fields(writer, value);
  message.GetReflection()->SetUInt64(&message, field_of(message, kChangedAt),
                                     value.changed_at.value());
}

/// Message within `message` that holds a resource of this type.
Message& holder(const fleet::Policy& /*type*/, v1::Resource& message) {
  return *message.mutable_policy();
}
Message& holder(const fleet::Tenant& /*type*/, v1::Resource& message) {
  return *message.mutable_tenant();
}
Message& holder(const fleet::Service& /*type*/, v1::Resource& message) {
  return *message.mutable_service();
}
Message& holder(const fleet::Model& /*type*/, v1::Resource& message) {
  return *message.mutable_model();
}
Message& holder(const fleet::ModelVersion& /*type*/, v1::Resource& message) {
  return *message.mutable_version();
}
Message& holder(const fleet::Adapter& /*type*/, v1::Resource& message) {
  return *message.mutable_adapter();
}
Message& holder(const fleet::Engine& /*type*/, v1::Resource& message) {
  return *message.mutable_engine();
}

}  // namespace

std::optional<fleet::Resource> from_proto(const v1::Resource& message) {
  switch (message.resource_case()) {
    case v1::Resource::kPolicy:
      return read<fleet::Policy>(message.policy());
    case v1::Resource::kTenant:
      return read<fleet::Tenant>(message.tenant());
    case v1::Resource::kService:
      return read<fleet::Service>(message.service());
    case v1::Resource::kModel:
      return read<fleet::Model>(message.model());
    case v1::Resource::kVersion:
      return read<fleet::ModelVersion>(message.version());
    case v1::Resource::kAdapter:
      return read<fleet::Adapter>(message.adapter());
    case v1::Resource::kEngine:
      return read<fleet::Engine>(message.engine());
    case v1::Resource::RESOURCE_NOT_SET:
      return std::nullopt;
  }
  return std::nullopt;
}

void to_proto(const fleet::Resource& resource, v1::Resource& message) {
  std::visit([&message](const auto& value) { write(value, holder(value, message)); }, resource);
}

int to_proto_number(fleet::ResourceKind kind) {
  return static_cast<int>(kind) + kFirstEnumerator;
}

std::optional<fleet::ResourceKind> kind_from_proto_number(int number) {
  const int index = number - kFirstEnumerator;
  if (index < 0 || index >= static_cast<int>(fleet::kResourceKinds.size())) {
    return std::nullopt;
  }
  return static_cast<fleet::ResourceKind>(index);
}

std::optional<fleet::ResourceKey> from_proto(const v1::ResourceKey& message) {
  const auto kind = kind_from_proto_number(message.kind());
  if (!kind) {
    return std::nullopt;
  }
  return fleet::ResourceKey{*kind, message.name()};
}

void to_proto(const fleet::ResourceKey& key, v1::ResourceKey& message) {
  message.set_kind(static_cast<v1::ResourceKind>(to_proto_number(key.kind)));
  message.set_name(key.name);
}

void to_proto(const fleet::ResourceChange& change, v1::ResourceChange& message) {
  message.set_change(
      static_cast<v1::ChangeKind>(static_cast<int>(change.change) + kFirstEnumerator));
  to_proto(change.key, *message.mutable_key());
  for (const fleet::FieldChange& field : fleet::changed_fields(change)) {
    v1::FieldChange& entry = *message.add_fields();
    entry.set_field(field.field);
    entry.set_before(field.before);
    entry.set_after(field.after);
  }
  if (change.after) {
    to_proto(*change.after, *message.mutable_after());
  }
}

}  // namespace ochrespring::operator_api
