// `explain engine` and `explain request`.
#include <chrono>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/time.h"
#include "ctl/command.h"
#include "operator_api/proto_time.h"

namespace ochrespring::ctl {

namespace {

std::string to_text(const google::protobuf::Timestamp& timestamp) {
  const auto since_epoch = operator_api::from_proto_timestamp(timestamp).time_since_epoch();
  const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
  std::tm broken_down{};
  gmtime_r(&seconds, &broken_down);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &broken_down);
  return text.data();
}

std::string to_milliseconds(const google::protobuf::Duration& span) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
      operator_api::from_proto_duration(span));
  return std::to_string(milliseconds.count()) + " ms";
}

void explain_engine(Context& context, const std::string& name) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  const auto result = client->explain_engine(name);
  if (result.has_error()) {
    return context.report(result.error());
  }
  const v1::ExplainEngineResponse& response = result.value();
  Table table{{"DECIDED", "ACTION", "RESULT", "GAIN", "COST", "EPOCH", "SEQUENCE", "REASON"}, {}};
  for (const v1::EngineDecision& decision : response.decisions()) {
    table.rows.push_back({to_text(decision.decided()), decision.action(), decision.result(),
                          std::to_string(decision.expected_gain()),
                          std::to_string(decision.expected_cost()),
                          std::to_string(decision.fence().epoch()),
                          std::to_string(decision.fence().sequence()), decision.reason()});
  }
  if (context.format == OutputFormat::kTable) {
    const std::string& authority = response.authority();
    context.out << "engine " << name << ", decided by "
                << (authority.empty() ? "no known node" : "node " + authority) << '\n';
  }
  print(context.out, context.format, to_json(response), table);
}

void explain_request(Context& context, const std::string& id) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  const auto result = client->explain_request(id);
  if (result.has_error()) {
    return context.report(result.error());
  }
  const v1::ExplainRequestResponse& response = result.value();
  Table table{{"ENGINE", "DECISION", "RESULT", "PREDICTED FIRST TOKEN", "OBSERVED", "CACHED"}, {}};
  for (const v1::RequestAttempt& attempt : response.attempts()) {
    table.rows.push_back({attempt.engine(), attempt.decision(), attempt.result(),
                          to_milliseconds(attempt.predicted_first_token()),
                          to_milliseconds(attempt.observed_first_token()),
                          std::to_string(attempt.cached_prompt_tokens())});
  }
  if (context.format == OutputFormat::kTable) {
    context.out << "request " << id << " of tenant " << response.tenant() << " to "
                << response.service() << " at node " << response.node() << ", "
                << to_text(response.arrived()) << ": " << response.outcome() << '\n';
  }
  print(context.out, context.format, to_json(response), table);
}

}  // namespace

void register_explain_command(CLI::App& app, Context& context) {
  CLI::App* explain = app.add_subcommand("explain", "Show why an engine or a request is as it is");
  explain->require_subcommand(1);
  auto name = std::make_shared<std::string>();
  CLI::App* engine = explain->add_subcommand("engine", "Last decisions about an engine");
  engine->add_option("id", *name, "Engine id")->required();
  engine->callback([&context, name] { explain_engine(context, *name); });
  CLI::App* request = explain->add_subcommand("request", "Where a request went and why");
  request->add_option("id", *name, "Request id, as in the answer's x-request-id")->required();
  request->callback([&context, name] { explain_request(context, *name); });
}

}  // namespace ochrespring::ctl
