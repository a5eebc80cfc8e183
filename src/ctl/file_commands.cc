// `apply` and `diff`: changes from a fleet file.
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "ctl/command.h"
#include "operator_api/proto_resources.h"

namespace ochrespring::ctl {

namespace {

struct FileOptions {
  std::string file;
  bool prune = false;
  bool dry_run = false;
  ChangeOptions change;
};

/// Contents of a fleet file; on failure reports every mistake and returns none.
std::optional<fleet::FleetFile> read_file(Context& context, const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream || stream.bad()) {
    context.report({ExitCode::kInvalid, path + ": cannot be read", {}});
    return std::nullopt;
  }
  auto file = fleet::read_fleet_text(text);
  if (file.has_error()) {
    const fleet::FleetError& error = file.error();
    print_failure(context.err, {ExitCode::kInvalid, error.message, error.fields}, path);
    context.exit_code = ExitCode::kInvalid;
    return std::nullopt;
  }
  return std::move(file).value();
}

v1::ApplyRequest make_request(const Context& context, const FileOptions& options,
                              const fleet::FleetFile& file) {
  v1::ApplyRequest request;
  *request.mutable_header() = make_header(context, options.change);
  request.mutable_header()->set_dry_run(options.dry_run);
  request.set_prune(options.prune);
  for (const fleet::Resource& resource : file.resources) {
    operator_api::to_proto(resource, *request.add_resources());
  }
  return request;
}

/// Sends the file; what the node refuses is reported with the file's lines.
CallResult<v1::MutationResponse> send(Context& context, Client& client, const FileOptions& options,
                                      const fleet::FleetFile& file,
                                      const v1::ApplyRequest& request) {
  auto result = client.apply(request);
  if (result.has_error()) {
    print_failure(context.err, result.error(), options.file, &file.lines);
    context.exit_code = result.error().exit_code;
  }
  return result;
}

/// Shows what a dry run would change; whether it would change anything.
bool show(Context& context, const v1::MutationResponse& response) {
  if (context.format != OutputFormat::kTable) {
    print(context.out, context.format, to_json(response), {});
  } else {
    print_changes(context.out, response);
  }
  return response.changes_size() > 0;
}

void run_apply(Context& context, const FileOptions& options) {
  const auto file = read_file(context, options.file);
  const auto client = file ? context.connect() : nullptr;
  if (!client) {
    return;
  }
  const v1::ApplyRequest request = make_request(context, options, *file);
  const auto result = send(context, *client, options, *file, request);
  if (!options.dry_run) {
    return finish_change(context, *client, options.change, request.header(), result);
  }
  if (result.has_value() && !show(context, result.value()) &&
      context.format == OutputFormat::kTable) {
    context.out << "no change\n";
  }
}

void run_diff(Context& context, const FileOptions& options) {
  const auto file = read_file(context, options.file);
  const auto client = file ? context.connect() : nullptr;
  if (!client) {
    return;
  }
  const auto result = send(context, *client, options, *file, make_request(context, options, *file));
  if (result.has_value() && show(context, result.value())) {
    context.exit_code = ExitCode::kDifferent;
  }
}

}  // namespace

void register_file_commands(CLI::App& app, Context& context) {
  auto apply_options = std::make_shared<FileOptions>();
  CLI::App* apply = app.add_subcommand("apply", "Create or replace what a fleet file names");
  apply->add_option("-f,--file", apply_options->file, "Fleet file, YAML or JSON")->required();
  apply->add_flag("--prune", apply_options->prune, "Also remove what the file does not name");
  apply->add_flag("--dry-run", apply_options->dry_run, "Check and show the changes only");
  add_change_options(*apply, apply_options->change);
  apply->callback([&context, apply_options] { run_apply(context, *apply_options); });

  auto diff_options = std::make_shared<FileOptions>();
  diff_options->dry_run = true;
  CLI::App* diff = app.add_subcommand("diff", "Show what applying a fleet file would change");
  diff->add_option("-f,--file", diff_options->file, "Fleet file, YAML or JSON")->required();
  diff->add_flag("--prune", diff_options->prune, "Also show what the file does not name");
  diff->callback([&context, diff_options] { run_diff(context, *diff_options); });
}

}  // namespace ochrespring::ctl
