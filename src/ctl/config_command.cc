// `config history`.
#include <array>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>

#include "ctl/command.h"

namespace ochrespring::ctl {

namespace {

std::string to_text(std::int64_t wall_milliseconds) {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const std::time_t seconds = wall_milliseconds / kMillisecondsPerSecond;
  std::tm broken_down{};
  gmtime_r(&seconds, &broken_down);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &broken_down);
  return text.data();
}

void run_history(Context& context, std::uint32_t limit) {
  const auto client = context.connect();
  if (!client) {
    return;
  }
  v1::HistoryRequest request;
  request.set_limit(limit);
  const auto result = client->history(request);
  if (result.has_error()) {
    return context.report(result.error());
  }
  Table table{{"REVISION", "ACCEPTED", "AUTHOR", "MUTATION", "CHANGES"}, {}};
  for (const v1::HistoryEntry& entry : result.value().entries()) {
    table.rows.push_back({std::to_string(entry.revision()), to_text(entry.wall_milliseconds()),
                          entry.author(), entry.mutation_id(), entry.summary()});
  }
  print(context.out, context.format, to_json(result.value()), table);
}

}  // namespace

void register_config_command(CLI::App& app, Context& context) {
  CLI::App* config = app.add_subcommand("config", "The fleet document as a whole");
  config->require_subcommand(1);
  auto limit = std::make_shared<std::uint32_t>(0);
  CLI::App* history = config->add_subcommand("history", "Recent accepted changes, newest first");
  history->add_option("--limit", *limit, "Show at most this many");
  history->callback([&context, limit] { run_history(context, *limit); });
}

}  // namespace ochrespring::ctl
