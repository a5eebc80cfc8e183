// `drain` and `undrain`.
#include <memory>

#include "ctl/command.h"

namespace ochrespring::ctl {

namespace {

struct DrainOptions {
  std::string target;
  std::string name;
  ChangeOptions change;
};

using DrainCall = CallResult<v1::MutationResponse> (Client::*)(const v1::DrainRequest&);

void run_drain(Context& context, const DrainOptions& options, DrainCall call) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  v1::DrainRequest request;
  *request.mutable_header() = make_header(context, options.change);
  if (options.target == "server") {
    request.set_server(options.name);
  } else {
    request.set_engine(options.name);
  }
  const auto result = (client.get()->*call)(request);
  if (result.has_error()) {
    print_failure(context.err, result.error());
  }
  finish_change(context, *client, options.change, request.header(), result);
}

void register_one(CLI::App& app, Context& context, const std::string& name,
                  const std::string& description, DrainCall call) {
  auto options = std::make_shared<DrainOptions>();
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("target", options->target, "engine or server")
      ->required()
      ->check(CLI::IsMember({"engine", "server"}));
  command->add_option("name", options->name, "Engine id or server name")->required();
  add_change_options(*command, options->change);
  command->callback([&context, options, call] { run_drain(context, *options, call); });
}

}  // namespace

void register_drain_commands(CLI::App& app, Context& context) {
  register_one(app, context, "drain", "Ask for no new work on an engine or a server",
               &Client::drain);
  register_one(app, context, "undrain", "End a drain", &Client::undrain);
}

}  // namespace ochrespring::ctl
