#include "fleet/file_reader.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "fleet/fields.h"
#include "fleet/text_values.h"
#include "fleet/validation.h"

namespace ochrespring::fleet {

namespace {

/// Part of a resource that only the writers fill.
constexpr std::string_view kStatusField = "status";

std::uint32_t line_of(const YAML::Mark& mark) {
  return mark.is_null() ? 0 : static_cast<std::uint32_t>(mark.line + 1);
}

std::uint32_t line_of(const YAML::Node& node) {
  return line_of(node.Mark());
}

std::string in_quotes(const std::string& text) {
  return "'" + text + "'";
}

template <class Number>
std::optional<Number> parse_number(const std::string& text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, value);
  return error == std::errc{} && stopped == end ? std::optional(value) : std::nullopt;
}

std::optional<EngineRole> parse_choice(const std::string& text, EngineRole /*type*/) {
  return engine_role(text);
}
std::optional<ServiceKind> parse_choice(const std::string& text, ServiceKind /*type*/) {
  return service_kind(text);
}

template <class Enumeration>
std::string choices() {
  std::string names;
  for (int value = 0; to_string(static_cast<Enumeration>(value)) != "invalid"; ++value) {
    names += names.empty() ? "" : ", ";
    names += to_string(static_cast<Enumeration>(value));
  }
  return names;
}

/// What reading one resource or a part of one found; paths are relative to it.
struct Findings {
  std::vector<FieldError> errors;
  std::vector<std::pair<std::string, std::uint32_t>> lines;

  void add_error(std::string path, std::string message, std::uint32_t line) {
    errors.push_back({std::move(path), std::move(message), line});
  }
};

/// Visitor that fills a fleet type from a YAML map. Absent fields keep their defaults.
class MapReader {
 public:
  MapReader(const YAML::Node& map, std::string prefix, Findings& findings)
      : map_(map), prefix_(std::move(prefix)), findings_(findings) {}

  template <class Name>
  void identity(std::string_view field, Name& name) {
    if (const auto text = scalar(field)) {
      name = Name(*text);
    }
  }
  template <class Name>
  void reference(std::string_view field, Name& name, Presence /*presence*/) {
    identity(field, name);
  }
  template <class Name>
  void references(std::string_view field, std::vector<Name>& names) {
    const auto node = find(field);
    if (!node) {
      return;
    }
    if (!node->IsSequence()) {
      return add_error(field, "must be a list of names", line_of(*node));
    }
    for (const YAML::Node& element : *node) {
      if (element.IsScalar()) {
        names.emplace_back(element.Scalar());
      } else {
        add_error(field, "must be a list of names", line_of(element));
      }
    }
  }
  void endpoint(std::string_view field, Endpoint& endpoint) { identity(field, endpoint); }
  template <class Enumeration>
  void choice(std::string_view field, Enumeration& value) {
    read(field, value, "must be one of " + choices<Enumeration>(),
         [](const std::string& text) { return parse_choice(text, Enumeration{}); });
  }
  void flag(std::string_view field, bool& value) {
    read(field, value, "must be true or false", [](const std::string& text) {
      const bool known = text == "true" || text == "false";
      return known ? std::optional(text == "true") : std::nullopt;
    });
  }
  void status_flag(std::string_view field, bool& /*value*/) {
    known_.insert(std::string(field));
    if (const auto node = find(field)) {
      add_error(field, "cannot be set in a file; use the drain and undrain commands",
                line_of(*node));
    }
  }
  template <class Number>
  void number(std::string_view field, Number& value, Bounds<Number> allowed) {
    read(field, value,
         "must be a number from " + text_of(allowed.lowest) + " to " + text_of(allowed.highest),
         [](const std::string& text) { return parse_number<Number>(text); });
  }
  void bytes(std::string_view field, std::uint64_t& value, Bounds<std::uint64_t> /*allowed*/) {
    read(field, value, "must be a size, such as 131072 or 4MiB",
         [](const std::string& text) { return parse_bytes(text); });
  }
  void duration(std::string_view field, Duration& value, Bounds<Duration> /*allowed*/) {
    read(field, value, "must be a duration, such as 37ms, 1.5s or 10m",
         [](const std::string& text) { return parse_duration(text); });
  }
  template <class Struct>
  void group(std::string_view field, Struct& nested) {
    const auto node = find(field);
    if (!node) {
      return;
    }
    if (!node->IsMap()) {
      return add_error(field, "must be a map of fields", line_of(*node));
    }
    MapReader reader(*node, prefix_ + std::string(field) + ".", findings_);
    visit_fields(reader, nested);
    reader.report_other_fields();
  }

  /// Reports fields that are given twice or that no visit asked for.
  void report_other_fields() {
    std::set<std::string> seen;
    for (const auto& entry : map_) {
      const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
      if (!seen.insert(name).second) {
        add_error(name, "is given twice", line_of(entry.first));
      } else if (!known_.contains(name) && name != kStatusField) {
        add_error(name, "is not a known field; known are " + known_fields(), line_of(entry.first));
      }
    }
  }

 private:
  template <class Number>
  static std::string text_of(Number value) {
    if constexpr (std::is_floating_point_v<Number>) {
      return format_real(value);
    } else {
      return std::to_string(value);
    }
  }

  /// The field's value, if it is given.
  std::optional<YAML::Node> find(std::string_view field) {
    known_.insert(std::string(field));
    for (const auto& entry : map_) {
      if (entry.first.IsScalar() && entry.first.Scalar() == field) {
        findings_.lines.emplace_back(prefix_ + std::string(field), line_of(entry.first));
        return entry.second;
      }
    }
    return std::nullopt;
  }

  std::optional<std::string> scalar(std::string_view field) {
    const auto node = find(field);
    if (!node) {
      return std::nullopt;
    }
    if (!node->IsScalar()) {
      add_error(field, "needs a single value", line_of(*node));
      return std::nullopt;
    }
    return node->Scalar();
  }

  template <class T, class Parse>
  void read(std::string_view field, T& value, const std::string& rule, Parse parse) {
    const auto text = scalar(field);
    if (!text) {
      return;
    }
    if (const auto parsed = parse(*text)) {
      value = *parsed;
    } else {
      add_error(field, in_quotes(*text) + " " + rule, line_of(*find(field)));
    }
  }

  std::string known_fields() const {
    std::string names;
    for (const std::string& name : known_) {
      names += (names.empty() ? "" : ", ") + name;
    }
    return names;
  }

  void add_error(std::string_view field, std::string message, std::uint32_t line) {
    findings_.add_error(prefix_ + std::string(field), std::move(message), line);
  }

  const YAML::Node& map_;
  std::string prefix_;
  Findings& findings_;
  std::set<std::string> known_;
};

Resource empty_resource(ResourceKind kind) {
  switch (kind) {
    case ResourceKind::kPolicy:
      return Policy{};
    case ResourceKind::kTenant:
      return Tenant{};
    case ResourceKind::kService:
      return Service{};
    case ResourceKind::kModel:
      return Model{};
    case ResourceKind::kVersion:
      return ModelVersion{};
    case ResourceKind::kAdapter:
      return Adapter{};
    case ResourceKind::kEngine:
      return Engine{};
  }
  return Policy{};
}

/// Reads a whole file, collecting errors as it goes.
class FileReader {
 public:
  void read(const YAML::Node& root) {
    if (!root.IsMap()) {
      return add_error("", "the file must be a map with " + collections(), line_of(root));
    }
    std::set<std::string> seen;
    for (const auto& entry : root) {
      const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
      const std::uint32_t line = line_of(entry.first);
      const auto kind = resource_kind(name);
      if (!kind || collection_name(*kind) != name) {
        add_error(name, "is not a known part; known are " + collections(), line);
      } else if (!seen.insert(name).second) {
        add_error(name, "is given twice", line);
      } else {
        file_.lines.record(name, line);
        read_collection(*kind, entry.second);
      }
    }
  }

  Result<FleetFile, FleetError> finish() {
    if (errors_.empty()) {
      return std::move(file_);
    }
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const auto& left, const auto& right) { return left.line < right.line; });
    const std::string count = std::to_string(errors_.size());
    return fleet_failure(FleetErrc::kInvalid, count + " field(s) are wrong", std::move(errors_));
  }

 private:
  void read_collection(ResourceKind kind, const YAML::Node& node) {
    const std::string name(collection_name(kind));
    if (kind == ResourceKind::kPolicy) {
      return read_resource(kind, node, name);
    }
    if (node.IsNull()) {
      return;
    }
    if (!node.IsSequence()) {
      return add_error(name, "must be a list", line_of(node));
    }
    std::size_t number = 0;
    for (const YAML::Node& element : node) {
      std::string position = name;
      position.append("[#").append(std::to_string(++number)).append("]");
      read_resource(kind, element, position);
    }
  }

  /// `position` names the resource if it has no usable name of its own.
  void read_resource(ResourceKind kind, const YAML::Node& node, const std::string& position) {
    if (!node.IsMap()) {
      return add_error(position, "must be a map of fields", line_of(node));
    }
    Resource resource = empty_resource(kind);
    Findings findings;
    MapReader reader(node, "", findings);
    std::visit([&reader](auto& value) { visit_fields(reader, value); }, resource);
    reader.report_other_fields();

    const ResourceKey key = key_of(resource);
    const std::string own_path = path_of(key);
    const bool is_named = !key.name.empty() && key.name.front() != '/' && key.name.back() != '/';
    const std::string path = is_named ? own_path : position;
    file_.lines.record(path, line_of(node));
    for (auto& [field, line] : findings.lines) {
      file_.lines.record(field_path(path, field), line);
    }
    for (FieldError& error : findings.errors) {
      error.field = field_path(path, error.field);
    }
    if (is_named && !keys_.insert(key).second) {
      add_error(path, "is given twice", line_of(node));
    }
    add_field_errors(resource, own_path, path, findings.errors);
    file_.resources.push_back(std::move(resource));
  }

  /// Adds what reading found, and what validation finds in the fields that could be read.
  void add_field_errors(const Resource& resource, const std::string& own_path,
                        const std::string& path, const std::vector<FieldError>& found) {
    std::set<std::string> reported;
    for (const FieldError& error : found) {
      reported.insert(error.field);
      errors_.push_back(error);
    }
    for (FieldError& error : validate_fields(resource)) {
      error.field = path + error.field.substr(own_path.size());
      if (!reported.contains(error.field)) {
        error.line = file_.lines.line_of(error.field);
        errors_.push_back(std::move(error));
      }
    }
  }

  static std::string field_path(std::string path, const std::string& field) {
    return path.append(".").append(field);
  }

  static std::string collections() {
    std::string names;
    for (const ResourceKind kind : kResourceKinds) {
      names += names.empty() ? "" : ", ";
      names += collection_name(kind);
    }
    return names;
  }

  void add_error(std::string path, std::string message, std::uint32_t line) {
    errors_.push_back({std::move(path), std::move(message), line});
  }

  FleetFile file_;
  std::set<ResourceKey> keys_;
  std::vector<FieldError> errors_;
};

FleetError syntax_error(std::uint32_t line, const std::string& message) {
  return {FleetErrc::kMalformed, "the text cannot be read", {{"", message, line}}};
}

/// Control characters are outside YAML and JSON; the YAML library takes one of them (0x04) for the
/// end of its input and then never ends.
std::optional<FleetError> check_characters(const std::string& text) {
  std::uint32_t line = 1;
  for (const char c : text) {
    const bool is_blank = c == '\t' || c == '\n' || c == '\r';
    const auto byte = static_cast<unsigned char>(c);
    if ((byte < ' ' && !is_blank) || byte == 0x7F) {
      return syntax_error(line, "the text holds a control character");
    }
    line += c == '\n' ? 1 : 0;
  }
  return std::nullopt;
}

/// Takes no notice of what is in a document.
class IgnoringHandler final : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {}
  void OnAlias(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {}
  void OnScalar(const YAML::Mark& /*mark*/, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
                const std::string& /*value*/) override {}
  void OnSequenceStart(const YAML::Mark& /*mark*/, const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& /*mark*/, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {}
  void OnMapEnd() override {}
};

/// Whether a second document follows the first. YAML::LoadAll must not be asked: after a stray
/// bracket it finds empty documents without end.
bool holds_several_documents(const std::string& text) {
  std::istringstream input(text);
  YAML::Parser parser(input);
  IgnoringHandler handler;
  return parser.HandleNextDocument(handler) && parser.HandleNextDocument(handler);
}

/// YAML readers accept more than JSON; a file that looks like JSON must be JSON.
std::optional<FleetError> check_json(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos || text[first] != '{') {
    return std::nullopt;
  }
  try {
    [[maybe_unused]] const auto value = nlohmann::json::parse(text);
    return std::nullopt;
  } catch (const nlohmann::json::parse_error& error) {
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
    const auto line = static_cast<std::uint32_t>(1 + std::count(text.begin(), end, '\n'));
    return syntax_error(line, error.what());
  } catch (const nlohmann::json::exception& error) {
    // A number too large for any type, which is no parse_error.
    return syntax_error(0, error.what());
  }
}

}  // namespace

std::uint32_t SourceLines::line_of(std::string_view path) const {
  while (!path.empty()) {
    const auto found = lines_.find(path);
    if (found != lines_.end()) {
      return found->second;
    }
    // Names may hold dots, so that the part after the brackets is cut first.
    const std::size_t bracket = path.rfind(']');
    const std::size_t dot = path.rfind('.');
    if (dot != std::string_view::npos && (bracket == std::string_view::npos || dot > bracket)) {
      path = path.substr(0, dot);
    } else {
      const std::size_t opening = path.find('[');
      path = opening == std::string_view::npos ? std::string_view() : path.substr(0, opening);
    }
  }
  return 0;
}

Result<FleetFile, FleetError> read_fleet_text(const std::string& text) {
  if (text.size() > kLargestFleetFile) {
    return fleet_failure(FleetErrc::kMalformed,
                         "the text is larger than " + format_bytes(kLargestFleetFile));
  }
  if (auto error = check_characters(text)) {
    return outcome::failure(std::move(*error));
  }
  if (auto error = check_json(text)) {
    return outcome::failure(std::move(*error));
  }
  try {
    if (holds_several_documents(text)) {
      return outcome::failure(syntax_error(0, "the file holds several YAML documents"));
    }
    const YAML::Node document = YAML::Load(text);
    if (document.IsNull()) {
      return outcome::failure(syntax_error(0, "the file is empty"));
    }
    FileReader reader;
    reader.read(document);
    return reader.finish();
  } catch (const YAML::Exception& error) {
    return outcome::failure(syntax_error(line_of(error.mark), error.msg));
  }
}

}  // namespace ochrespring::fleet
