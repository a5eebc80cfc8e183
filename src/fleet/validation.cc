#include "fleet/validation.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <type_traits>
#include <utility>

#include "fleet/fields.h"
#include "fleet/text_values.h"

namespace ochrespring::fleet {

namespace {

constexpr std::string_view kNameRule =
    "must be letters, digits, '.', '_' or '-', beginning with a letter or digit, at most 128 bytes";

std::string in_quotes(std::string_view text) {
  return "'" + std::string(text) + "'";
}

/// Visitor that checks each field by itself.
class FieldChecker {
 public:
  FieldChecker(std::string path, std::vector<FieldError>& errors)
      : path_(std::move(path)), errors_(errors) {}

  template <class Name>
  void identity(std::string_view field, const Name& name) {
    reference(field, name, Presence::kRequired);
  }
  template <class Name>
  void reference(std::string_view field, const Name& name, Presence presence) {
    if (name.empty()) {
      if (presence == Presence::kRequired) {
        add(field, "is required");
      }
    } else if (!is_valid_name(name.value())) {
      add(field, in_quotes(name.value()) + " " + std::string(kNameRule));
    }
  }
  template <class Name>
  void references(std::string_view field, const std::vector<Name>& names) {
    std::set<Name> seen;
    for (const Name& name : names) {
      reference(field, name, Presence::kRequired);
      if (!seen.insert(name).second) {
        add(field, in_quotes(name.value()) + " is given twice");
      }
    }
  }
  void endpoint(std::string_view field, const Endpoint& endpoint) {
    if (endpoint.empty()) {
      add(field, "is required");
    } else if (!is_valid_endpoint(endpoint.value())) {
      add(field, in_quotes(endpoint.value()) +
                     " must be a numeric IP address and a port from 1 to 65535, such as "
                     "127.0.0.1:8080 or [::1]:8080");
    }
  }
  template <class Enumeration>
  void choice(std::string_view field, Enumeration value) {
    if (to_string(value) == "invalid") {
      add(field, "is not a known value");
    }
  }
  void flag(std::string_view /*field*/, bool /*value*/) {}
  void status_flag(std::string_view /*field*/, bool /*value*/) {}
  template <class Number>
  void number(std::string_view field, Number value, Bounds<Number> allowed) {
    // Written so that not-a-number fails too.
    if (!(value >= allowed.lowest && value <= allowed.highest)) {
      add(field,
          text(value) + " must be from " + text(allowed.lowest) + " to " + text(allowed.highest));
    }
  }
  void bytes(std::string_view field, std::uint64_t value, Bounds<std::uint64_t> allowed) {
    if (value < allowed.lowest || value > allowed.highest) {
      add(field, format_bytes(value) + " must be from " + format_bytes(allowed.lowest) + " to " +
                     format_bytes(allowed.highest));
    }
  }
  void duration(std::string_view field, Duration value, Bounds<Duration> allowed) {
    if (value < allowed.lowest || value > allowed.highest) {
      add(field, format_duration(value) + " must be from " + format_duration(allowed.lowest) +
                     " to " + format_duration(allowed.highest));
    }
  }
  template <class Struct>
  void group(std::string_view field, const Struct& nested) {
    FieldChecker checker(path_ + "." + std::string(field), errors_);
    visit_fields(checker, nested);
  }

 private:
  template <class Number>
  static std::string text(Number value) {
    if constexpr (std::is_floating_point_v<Number>) {
      return format_real(value);
    } else {
      return std::to_string(value);
    }
  }
  void add(std::string_view field, std::string message) {
    errors_.push_back({path_ + "." + std::string(field), std::move(message), 0});
  }

  std::string path_;
  std::vector<FieldError>& errors_;
};

/// Checks what a resource says of others.
class ReferenceChecker {
 public:
  explicit ReferenceChecker(const FleetDocument& document) {
    for (const Service& service : document.services) {
      services_.emplace(service.name, &service);
    }
    for (const Model& model : document.models) {
      models_.emplace(model.name, &model);
    }
    for (const Adapter& adapter : document.adapters) {
      adapters_.emplace(adapter.name, &adapter);
    }
    for (const ModelVersion& version : document.versions) {
      versions_.emplace(version.model, version.version);
    }
  }

  void check(const Model& model) {
    path_ = path_of({ResourceKind::kModel, model.name.value()});
    const Service* service = expect(services_, model.service, "service", "service");
    if (service != nullptr && service->kind != ServiceKind::kModel) {
      add("service", in_quotes(model.service.value()) + " is not a model service");
    }
    if (!model.serving_version.empty() &&
        !versions_.contains({model.name, model.serving_version})) {
      add("serving_version", "there is no version " + in_quotes(model.serving_version.value()) +
                                 " of model " + in_quotes(model.name.value()));
    }
  }

  void check(const ModelVersion& version) {
    path_ =
        path_of({ResourceKind::kVersion, version.model.value() + "/" + version.version.value()});
    expect(models_, version.model, "model", "model");
  }

  void check(const Adapter& adapter) {
    path_ = path_of({ResourceKind::kAdapter, adapter.name.value()});
    expect(models_, adapter.model, "model", "model");
  }

  void check(const Engine& engine) {
    path_ = path_of({ResourceKind::kEngine, engine.id.value()});
    check_place(engine);
    const Service* service = expect(services_, engine.service, "service", "service");
    if (service == nullptr) {
      return;
    }
    if (service->kind == ServiceKind::kOrdinary) {
      check_ordinary(engine);
    } else {
      check_model_engine(engine);
    }
  }

  std::vector<FieldError> take() { return std::move(errors_); }

 private:
  void check_ordinary(const Engine& engine) {
    if (engine.role != EngineRole::kOrdinary) {
      add("role", "must be 'ordinary' for an ordinary service");
    }
    if (!engine.model.empty()) {
      add("model", "must be empty for an ordinary service");
    }
    if (!engine.adapters.empty()) {
      add("adapters", "must be empty for an ordinary service");
    }
  }

  void check_model_engine(const Engine& engine) {
    if (engine.role == EngineRole::kOrdinary) {
      add("role", "must be 'mixed', 'prefill' or 'decode' for a model service");
    }
    if (engine.model.empty()) {
      add("model", "is required for a model service");
      return;
    }
    const Model* model = expect(models_, engine.model, "model", "model");
    if (model != nullptr && model->service != engine.service) {
      add("model", in_quotes(engine.model.value()) + " belongs to service " +
                       in_quotes(model->service.value()));
    }
    for (const AdapterName& name : engine.adapters) {
      const Adapter* adapter = expect(adapters_, name, "adapters", "adapter");
      if (adapter != nullptr && adapter->model != engine.model) {
        add("adapters",
            in_quotes(name.value()) + " belongs to model " + in_quotes(adapter->model.value()));
      }
    }
  }

  /// A server stands in one zone, a zone in one region.
  void check_place(const Engine& engine) {
    const auto [server, server_is_new] = zone_of_server_.emplace(engine.server, engine.zone);
    if (!server_is_new && server->second != engine.zone) {
      add("zone", "server " + in_quotes(engine.server.value()) + " is in zone " +
                      in_quotes(server->second.value()) + " for another engine");
    }
    const auto [zone, zone_is_new] = region_of_zone_.emplace(engine.zone, engine.region);
    if (!zone_is_new && zone->second != engine.region) {
      add("region", "zone " + in_quotes(engine.zone.value()) + " is in region " +
                        in_quotes(zone->second.value()) + " for another engine");
    }
  }

  template <class Name, class Value>
  const Value* expect(const std::map<Name, const Value*>& known, const Name& name,
                      std::string_view field, std::string_view kind) {
    const auto found = known.find(name);
    if (found != known.end()) {
      return found->second;
    }
    if (!name.empty()) {
      add(field, "there is no " + std::string(kind) + " " + in_quotes(name.value()));
    }
    return nullptr;
  }

  void add(std::string_view field, std::string message) {
    errors_.push_back({path_ + "." + std::string(field), std::move(message), 0});
  }

  std::map<ServiceName, const Service*> services_;
  std::map<ModelName, const Model*> models_;
  std::map<AdapterName, const Adapter*> adapters_;
  std::set<std::pair<ModelName, VersionName>> versions_;
  std::map<ServerId, ZoneName> zone_of_server_;
  std::map<ZoneName, RegionName> region_of_zone_;
  std::string path_;
  std::vector<FieldError> errors_;
};

template <class T>
void check_collection(const std::vector<T>& collection, std::vector<FieldError>& errors) {
  std::set<std::string> names;
  for (const T& element : collection) {
    const Resource resource = element;
    const ResourceKey key = key_of(resource);
    if (!names.insert(key.name).second) {
      errors.push_back({path_of(key), "is given twice", 0});
    }
    FieldChecker checker(path_of(key), errors);
    visit_fields(checker, element);
  }
}

}  // namespace

std::vector<FieldError> validate_fields(const Resource& resource) {
  std::vector<FieldError> errors;
  FieldChecker checker(path_of(key_of(resource)), errors);
  std::visit([&checker](const auto& value) { visit_fields(checker, value); }, resource);
  return errors;
}

std::vector<FieldError> validate(const FleetDocument& document) {
  std::vector<FieldError> errors = validate_fields(document.policy);
  check_collection(document.tenants, errors);
  check_collection(document.services, errors);
  check_collection(document.models, errors);
  check_collection(document.versions, errors);
  check_collection(document.adapters, errors);
  check_collection(document.engines, errors);

  ReferenceChecker references(document);
  const auto check_all = [&references](const auto& collection) {
    for (const auto& element : collection) {
      references.check(element);
    }
  };
  check_all(document.models);
  check_all(document.versions);
  check_all(document.adapters);
  check_all(document.engines);
  std::vector<FieldError> broken_references = references.take();
  std::move(broken_references.begin(), broken_references.end(), std::back_inserter(errors));
  return errors;
}

}  // namespace ochrespring::fleet
