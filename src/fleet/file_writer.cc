#include "fleet/file_writer.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <nlohmann/json.hpp>

#include "fleet/fields.h"
#include "fleet/text_values.h"

namespace ochrespring::fleet {

namespace {

using Json = nlohmann::ordered_json;

/// Visitor that fills a JSON object.
class ObjectWriter {
 public:
  ObjectWriter(Json& object, Json& status) : object_(object), status_(status) {}

  template <class Name>
  void identity(std::string_view field, const Name& name) {
    put(field, name.value());
  }
  template <class Name>
  void reference(std::string_view field, const Name& name, Presence presence) {
    if (presence == Presence::kRequired || !name.empty()) {
      put(field, name.value());
    }
  }
  template <class Name>
  void references(std::string_view field, const std::vector<Name>& names) {
    Json list = Json::array();
    for (const Name& name : names) {
      list.push_back(name.value());
    }
    if (!list.empty()) {
      put(field, std::move(list));
    }
  }
  void endpoint(std::string_view field, const Endpoint& endpoint) { put(field, endpoint.value()); }
  template <class Enumeration>
  void choice(std::string_view field, Enumeration value) {
    put(field, std::string(to_string(value)));
  }
  void flag(std::string_view field, bool value) { put(field, value); }
  void status_flag(std::string_view field, bool value) { status_[std::string(field)] = value; }
  template <class Number>
  void number(std::string_view field, Number value, Bounds<Number> /*allowed*/) {
    put(field, value);
  }
  void bytes(std::string_view field, std::uint64_t value, Bounds<std::uint64_t> /*allowed*/) {
    put(field, value);
  }
  void duration(std::string_view field, Duration value, Bounds<Duration> /*allowed*/) {
    put(field, format_duration(value));
  }
  template <class Struct>
  void group(std::string_view field, const Struct& nested) {
    Json object = Json::object();
    ObjectWriter writer(object, status_);
    visit_fields(writer, nested);
    put(field, std::move(object));
  }

 private:
  void put(std::string_view field, Json value) { object_[std::string(field)] = std::move(value); }

  Json& object_;
  Json& status_;
};

/// Whether a YAML reader would take the plain text for something else than a string.
bool needs_quotes(const std::string& text) {
  constexpr std::array kWords = {"true", "false", "null", "yes", "no", "on", "off", "~"};
  for (const char* word : kWords) {
    if (text == word) {
      return true;
    }
  }
  return text.empty() || text.find_first_not_of("0123456789+-.eExX_:") == std::string::npos;
}

void emit(YAML::Emitter& out, const Json& value) {
  switch (value.type()) {
    case Json::value_t::object:
      out << YAML::BeginMap;
      for (const auto& [name, element] : value.items()) {
        out << YAML::Key << name << YAML::Value;
        emit(out, element);
      }
      out << YAML::EndMap;
      break;
    case Json::value_t::array:
      out << (value.empty() ? YAML::Flow : YAML::Block) << YAML::BeginSeq;
      for (const Json& element : value) {
        emit(out, element);
      }
      out << YAML::EndSeq;
      break;
    case Json::value_t::string: {
      const auto& text = value.get_ref<const std::string&>();
      if (needs_quotes(text)) {
        out << YAML::DoubleQuoted;
      }
      out << text;
      break;
    }
    default:
      out << value.dump();
  }
}

}  // namespace

Json to_json(const Resource& resource, StatusPart status) {
  Json object = Json::object();
  Json status_object = Json::object();
  ObjectWriter writer(object, status_object);
  std::visit([&writer](const auto& value) { visit_fields(writer, value); }, resource);
  if (status == StatusPart::kWritten) {
    status_object["changed_at"] = changed_at(resource).value();
    object["status"] = std::move(status_object);
  }
  return object;
}

Json to_json(const std::vector<Resource>& resources, StatusPart status) {
  Json file = Json::object();
  for (const Resource& resource : resources) {
    const auto kind = static_cast<ResourceKind>(resource.index());
    const std::string name(collection_name(kind));
    if (kind == ResourceKind::kPolicy) {
      file[name] = to_json(resource, status);
    } else {
      file[name].push_back(to_json(resource, status));
    }
  }
  return file;
}

std::string to_yaml(const Json& value) {
  YAML::Emitter out;
  emit(out, value);
  return std::string(out.c_str()) + "\n";
}

}  // namespace ochrespring::fleet
