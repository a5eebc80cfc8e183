// `get`, `describe` and `delete`.
#include <memory>
#include <nlohmann/json.hpp>

#include "ctl/command.h"
#include "fleet/file_writer.h"
#include "operator_api/proto_resources.h"

namespace ochrespring::ctl {

namespace {

struct ResourceOptions {
  std::string kind;
  std::string name;
  bool watch = false;
  ChangeOptions change;
};

const CLI::Validator& kind_check() {
  static const CLI::Validator check(
      [](const std::string& text) {
        return fleet::resource_kind(text) || text == "all"
                   ? std::string()
                   : "'" + text +
                         "' is not a kind; known are policy, tenant, service, model, version, "
                         "adapter, engine, all";
      },
      "KIND");
  return check;
}

v1::ResourceKey make_key(const ResourceOptions& options) {
  v1::ResourceKey key;
  operator_api::to_proto({*fleet::resource_kind(options.kind), options.name}, key);
  return key;
}

/// A resource's top-level fields as one row; nested ones are left to JSON and YAML.
Table table_of(const std::vector<fleet::Resource>& resources) {
  Table table{{"KIND", "NAME", "CHANGED AT", "FIELDS"}, {}};
  for (const fleet::Resource& resource : resources) {
    const fleet::ResourceKey key = key_of(resource);
    std::string fields;
    const auto object = fleet::to_json(resource, fleet::StatusPart::kOmitted);
    for (const auto& [name, value] : object.items()) {
      const bool is_name = name == "name" || name == "id";
      if (!value.is_object() && !is_name) {
        fields += (fields.empty() ? "" : " ") + name + "=";
        fields += value.is_string() ? value.get<std::string>() : value.dump();
      }
    }
    if (const auto* engine = std::get_if<fleet::Engine>(&resource); engine && engine->drained) {
      fields += " drained=true";
    }
    table.rows.push_back({std::string(to_string(key.kind)), key.name,
                          std::to_string(changed_at(resource).value()), fields});
  }
  return table;
}

void print_resources(Context& context, const std::vector<fleet::Resource>& resources) {
  print(context.out, context.format, fleet::to_json(resources, fleet::StatusPart::kWritten),
        table_of(resources));
}

/// One resource by name; on failure reports it.
std::optional<fleet::Resource> get_one(Context& context, Client& client,
                                       const ResourceOptions& options) {
  v1::GetRequest request;
  *request.mutable_key() = make_key(options);
  const auto response = client.get(request);
  if (response.has_error()) {
    context.report(response.error());
    return std::nullopt;
  }
  return operator_api::from_proto(response.value().resource());
}

void list_all(Context& context, Client& client, const ResourceOptions& options) {
  const auto kind = fleet::resource_kind(options.kind);
  const auto number = kind ? operator_api::to_proto_number(*kind) : 0;
  const auto listing = client.list(static_cast<v1::ResourceKind>(number));
  if (listing.has_error()) {
    return context.report(listing.error());
  }
  std::vector<fleet::Resource> resources;
  for (const v1::Resource& message : listing.value().resources) {
    if (auto resource = operator_api::from_proto(message)) {
      resources.push_back(std::move(*resource));
    }
  }
  print_resources(context, resources);
}

/// Prints changes of the kind and name as they come into force, until interrupted.
void watch(Context& context, Client& client, const ResourceOptions& options) {
  const auto kind = fleet::resource_kind(options.kind);
  const auto result = client.watch([&](const v1::WatchEvent& event) {
    v1::MutationResponse shown;
    for (const v1::ResourceChange& change : event.changes()) {
      const auto key = operator_api::from_proto(change.key());
      const bool is_asked_for = key && (!kind || key->kind == *kind) &&
                                (options.name.empty() || key->name == options.name);
      if (is_asked_for) {
        *shown.add_changes() = change;
      }
    }
    if (shown.changes_size() > 0) {
      context.out << "revision " << event.revision() << '\n';
      print_changes(context.out, shown);
      context.out.flush();
    }
    return true;
  });
  if (result.has_error()) {
    context.report(result.error());
  }
}

void run_get(Context& context, const ResourceOptions& options) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  if (options.watch) {
    watch(context, *client, options);
  } else if (options.name.empty() || options.kind == "all") {
    list_all(context, *client, options);
  } else if (const auto resource = get_one(context, *client, options)) {
    print_resources(context, {*resource});
  }
}

void run_describe(Context& context, const ResourceOptions& options) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  const auto resource = get_one(context, *client, options);
  if (!resource) {
    return;
  }
  nlohmann::ordered_json description = fleet::to_json(*resource, fleet::StatusPart::kWritten);
  if (std::holds_alternative<fleet::Engine>(*resource)) {
    const auto explanation = client->explain_engine(options.name);
    if (explanation.has_value()) {
      description["live"] = to_json(explanation.value());
    }
  }
  const bool is_json = context.format == OutputFormat::kJson;
  print(context.out, is_json ? OutputFormat::kJson : OutputFormat::kYaml, description, {});
}

void run_delete(Context& context, const ResourceOptions& options) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  v1::DeleteRequest request;
  *request.mutable_header() = make_header(context, options.change);
  *request.mutable_key() = make_key(options);
  const auto result = client->remove(request);
  if (result.has_error()) {
    print_failure(context.err, result.error());
  }
  finish_change(context, *client, options.change, request.header(), result);
}

}  // namespace

void register_resource_commands(CLI::App& app, Context& context) {
  auto get_options = std::make_shared<ResourceOptions>();
  CLI::App* get = app.add_subcommand("get", "Show resources");
  get->add_option("kind", get_options->kind, "Kind, or all")->required()->check(kind_check());
  get->add_option("name", get_options->name, "Name; without it, all of the kind");
  get->add_flag("--watch", get_options->watch, "Show changes as they come into force");
  get->callback([&context, get_options] { run_get(context, *get_options); });

  auto describe_options = std::make_shared<ResourceOptions>();
  CLI::App* describe = app.add_subcommand("describe", "Show all of one resource");
  describe->add_option("kind", describe_options->kind, "Kind")->required()->check(kind_check());
  describe->add_option("name", describe_options->name, "Name; `default` for the policy")
      ->required();
  describe->callback([&context, describe_options] { run_describe(context, *describe_options); });

  auto delete_options = std::make_shared<ResourceOptions>();
  CLI::App* erase = app.add_subcommand("delete", "Remove a resource that nothing refers to");
  erase->add_option("kind", delete_options->kind, "Kind")->required()->check(kind_check());
  erase->add_option("name", delete_options->name, "Name; MODEL/VERSION for a version")->required();
  add_change_options(*erase, delete_options->change);
  erase->callback([&context, delete_options] { run_delete(context, *delete_options); });
}

}  // namespace ochrespring::ctl
