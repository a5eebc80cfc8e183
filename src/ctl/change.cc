#include <chrono>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "ctl/command.h"

namespace ochrespring::ctl {

namespace {

constexpr std::chrono::milliseconds kStatusInterval{100};

std::string random_id() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int word = 0; word < 4; ++word) {
    id << std::setw(8) << random();
  }
  return id.str();
}

/// Nodes that are alive, and those of them at or past the revision.
struct Spread {
  int alive = 0;
  int current = 0;
};

Spread spread_of(const v1::StatusResponse& status, std::uint64_t revision) {
  Spread spread;
  for (const v1::NodeStatus& node : status.nodes()) {
    if (node.state() == v1::MEMBER_STATE_ALIVE) {
      ++spread.alive;
      spread.current += node.revision_in_force() >= revision ? 1 : 0;
    }
  }
  return spread;
}

void wait_until_in_force(Context& context, Client& client, std::uint64_t revision,
                         double limit_seconds) {
  const auto start = std::chrono::steady_clock::now();
  while (true) {
    const auto status = client.status();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const Spread spread = status.has_value() ? spread_of(status.value(), revision) : Spread{};
    const bool is_done = spread.alive > 0 && spread.current == spread.alive;
    if (is_done || elapsed.count() >= limit_seconds) {
      context.err << "in force on " << spread.current << " of " << spread.alive << " nodes after "
                  << std::fixed << std::setprecision(2) << elapsed.count() << " s\n";
      if (!is_done) {
        context.exit_code = ExitCode::kUnavailable;
      }
      return;
    }
    std::this_thread::sleep_for(kStatusInterval);
  }
}

}  // namespace

std::unique_ptr<Client> Context::connect() {
  auto client = Client::create(connection);
  if (client.has_error()) {
    report(client.error());
    return nullptr;
  }
  return std::move(client).value();
}

void Context::report(const CallFailure& failure) {
  print_failure(err, failure);
  exit_code = failure.exit_code;
}

void add_change_options(CLI::App& command, ChangeOptions& options) {
  command.add_option("--mutation-id", options.mutation_id,
                     "Id of the change; the same one repeats a change whose answer was lost");
  command.add_option("--expected-revision", options.expected_revision,
                     "Refuse if another change came first");
  command.add_flag("--wait", options.wait, "Wait until the change is in force on every node");
  command.add_option("--wait-seconds", options.wait_seconds, "Longest wait")
      ->check(CLI::NonNegativeNumber);
}

v1::MutationHeader make_header(const Context& context, const ChangeOptions& options) {
  v1::MutationHeader header;
  header.set_mutation_id(options.mutation_id.empty() ? random_id() : options.mutation_id);
  header.set_author(context.author);
  if (options.expected_revision) {
    header.set_expected_revision(*options.expected_revision);
  }
  return header;
}

void finish_change(Context& context, Client& client, const ChangeOptions& options,
                   const v1::MutationHeader& header,
                   const CallResult<v1::MutationResponse>& result) {
  if (result.has_error()) {
    context.exit_code = result.error().exit_code;
    if (context.exit_code == ExitCode::kEffectUnknown) {
      context.err << "the change may have been accepted; repeat the command with --mutation-id "
                  << header.mutation_id() << " to settle it\n";
    }
    return;
  }
  const v1::MutationResponse& response = result.value();
  if (context.format != OutputFormat::kTable) {
    print(context.out, context.format, to_json(response), {});
  } else {
    print_changes(context.out, response);
    const char* verdict = response.repeated_call() ? "accepted before, at revision "
                          : response.changed()     ? "accepted at revision "
                                                   : "unchanged at revision ";
    context.out << verdict << response.revision() << '\n';
  }
  if (options.wait) {
    wait_until_in_force(context, client, response.revision(), options.wait_seconds);
  }
}

}  // namespace ochrespring::ctl
