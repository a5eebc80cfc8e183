// `status`.
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "ctl/command.h"

namespace ochrespring::ctl {

namespace {

struct StatusOptions {
  bool watch = false;
  double interval_seconds = 1;
  unsigned count = 0;
};

/// `ENGINE_ROLE_MIXED` as `mixed`.
std::string short_name(const std::string& enumerator, std::size_t prefix_length) {
  std::string name = enumerator.substr(std::min(prefix_length, enumerator.size()));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

std::string role_name(v1::EngineRole role) {
  return short_name(v1::EngineRole_Name(role), std::string("ENGINE_ROLE_").size());
}

void print_nodes(std::ostream& out, const v1::StatusResponse& status) {
  Table table{{"NODE", "ZONE", "STATE", "REVISION", "INCARNATION", "PEER"}, {}};
  for (const v1::NodeStatus& node : status.nodes()) {
    const std::string state =
        short_name(v1::MemberState_Name(node.state()), std::string("MEMBER_STATE_").size());
    table.rows.push_back(
        {node.node(), node.zone(), state,
         node.has_revision_in_force() ? std::to_string(node.revision_in_force()) : "?",
         std::to_string(node.incarnation()), node.peer_endpoint()});
  }
  print_table(out, table);
}

void print_shards(std::ostream& out, const v1::StatusResponse& status) {
  Table table{{"SHARD", "HOLDER", "EPOCH", "LEASE LEFT"}, {}};
  for (const v1::ShardStatus& shard : status.shards()) {
    table.rows.push_back(
        {std::to_string(shard.shard()), shard.holder().empty() ? "none" : shard.holder(),
         std::to_string(shard.epoch()), std::to_string(shard.lease_left().seconds()) + " s"});
  }
  print_table(out, table);
}

void print_engines(std::ostream& out, const v1::StatusResponse& status) {
  Table table{
      {"ENGINE", "SERVICE", "ZONE", "ROLE", "PHASE", "IN FLIGHT", "QUEUED", "KV USED", "NOTES"},
      {}};
  for (const v1::EngineStatus& engine : status.engines()) {
    std::string role = role_name(engine.actual_role());
    if (engine.desired_role() != engine.actual_role()) {
      role += " -> " + role_name(engine.desired_role());
    }
    const std::string phase =
        short_name(v1::EnginePhase_Name(engine.phase()), std::string("ENGINE_PHASE_").size());
    const std::string notes = std::string(engine.reachable() ? "" : "unreachable ") +
                              (engine.draining() ? "draining" : "");
    table.rows.push_back({engine.engine(), engine.service(), engine.zone(), role, phase,
                          std::to_string(engine.in_flight()),
                          std::to_string(engine.load().queued_requests()),
                          std::to_string(engine.load().kv_tokens_used()) + "/" +
                              std::to_string(engine.load().kv_tokens_capacity()),
                          notes});
  }
  print_table(out, table);
}

void print_status(Context& context, const v1::StatusResponse& status) {
  if (context.format != OutputFormat::kTable) {
    return print(context.out, context.format, to_json(status), {});
  }
  context.out << "node " << status.answering_node() << " at revision " << status.revision()
              << ", key-value service "
              << (status.key_value_reachable() ? "reachable" : "not reachable") << "\n\n";
  print_nodes(context.out, status);
  context.out << '\n';
  print_shards(context.out, status);
  context.out << '\n';
  print_engines(context.out, status);
  context.out.flush();
}

void run_status(Context& context, const StatusOptions& options) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  const unsigned limit = options.watch ? options.count : 1;
  for (unsigned shown = 1;; ++shown) {
    const auto status = client->status();
    if (status.has_error()) {
      context.report(status.error());
    } else {
      context.exit_code = ExitCode::kSuccess;
      print_status(context, status.value());
    }
    if (limit != 0 && shown >= limit) {
      return;
    }
    context.out << '\n';
    std::this_thread::sleep_for(std::chrono::duration<double>(options.interval_seconds));
  }
}

}  // namespace

void register_status_command(CLI::App& app, Context& context) {
  auto options = std::make_shared<StatusOptions>();
  CLI::App* status = app.add_subcommand("status", "Show nodes, authority and engines");
  status->add_flag("--watch", options->watch, "Show again and again");
  status->add_option("--interval", options->interval_seconds, "Seconds between showings")
      ->check(CLI::PositiveNumber);
  status->add_option("--count", options->count, "With --watch: end after this many showings");
  status->callback([&context, options] { run_status(context, *options); });
}

}  // namespace ochrespring::ctl
