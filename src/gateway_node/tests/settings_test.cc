// Parsing of the gateway's settings: every error is reported with its key, and unknown keys are
// ignored.
#include "gateway_node/settings.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

using namespace ochrespring;
using namespace ochrespring::gateway_node;

namespace {

const std::vector<std::string> kValidArguments = {"--node=n",
                                                  "--zone=z",
                                                  "--listen=127.0.0.1:1",
                                                  "--ready-listen=127.0.0.1:2",
                                                  "--directory-listen=127.0.0.1:3",
                                                  "--peer-listen=127.0.0.1:4",
                                                  "--store=127.0.0.1:5"};

bool has_error_for(const std::vector<settings::SettingsError>& errors, const std::string& key) {
  return std::any_of(errors.begin(), errors.end(), [&](const settings::SettingsError& error) {
    return error.message.starts_with(key + ":");
  });
}

}  // namespace

TEST_CASE("required settings are accepted, with defaults for the others") {
  const auto parsed = parse_command_line(kValidArguments);
  REQUIRE(parsed);
  CHECK(parsed.value().settings.node.value() == "n");
  CHECK(parsed.value().settings.store.value() == "127.0.0.1:5");
  CHECK(parsed.value().settings.stop_grace == std::chrono::seconds(8));
}

TEST_CASE("every error is reported with its key") {
  std::vector<std::string> arguments = kValidArguments;
  arguments[2] = "--listen=nowhere";
  arguments.emplace_back("--retry-ratio=many");
  arguments.emplace_back("--stop-grace-s=-1");
  arguments.erase(arguments.begin());
  const auto parsed = parse_command_line(arguments);
  REQUIRE_FALSE(parsed);
  for (const char* key : {"node", "listen", "retry-ratio", "stop-grace-s"}) {
    CHECK(has_error_for(parsed.error(), key));
  }
  CHECK(parsed.error().size() == 4);
}

TEST_CASE("seeds are an optional list of addresses") {
  CHECK(parse_command_line(kValidArguments).value().settings.seeds.empty());
  const std::string path = "/tmp/ochrespring-seeds-" + std::to_string(::getpid());
  std::ofstream(path) << "seeds = \"127.0.0.1:7,127.0.0.2:8\"\n";
  std::vector<std::string> arguments = kValidArguments;
  arguments.push_back("--config=" + path);
  const auto parsed = parse_command_line(arguments);
  std::remove(path.c_str());
  REQUIRE(parsed);
  REQUIRE(parsed.value().settings.seeds.size() == 2);
  CHECK(parsed.value().settings.seeds[1].value() == "127.0.0.2:8");
  arguments.back() = "--seeds=127.0.0.1:7,nowhere";
  const auto rejected = parse_command_line(arguments);
  REQUIRE_FALSE(rejected);
  CHECK(has_error_for(rejected.error(), "seeds"));
}

TEST_CASE("unknown keys in the file are ignored, and flags take precedence over the file") {
  const std::string path = "/tmp/ochrespring-settings-" + std::to_string(::getpid());
  std::ofstream(path) << "node = \"from-file\"\nunknown-setting = 7\nretry-slack = 54\n";
  std::vector<std::string> arguments = kValidArguments;
  arguments.push_back("--config=" + path);
  const auto parsed = parse_command_line(arguments);
  REQUIRE(parsed);
  CHECK(parsed.value().settings.node.value() == "n");
  CHECK(parsed.value().settings.retry_budget.slack == 54);
  CHECK(parsed.value().settings.file == path);
  std::remove(path.c_str());
}

TEST_CASE("unknown duties in the list are ignored, and settings of duties have defaults") {
  std::vector<std::string> arguments = kValidArguments;
  for (const char* argument : {"--cloud=127.0.0.1:6", "--duties=unknown-duty,usage_report",
                               "--usage-window-s=2.5", "--preemptible-head-room=1.5"}) {
    arguments.emplace_back(argument);
  }
  const auto parsed = parse_command_line(arguments);
  REQUIRE(parsed);
  const Settings& settings = parsed.value().settings;
  CHECK(settings.cloud.value() == "127.0.0.1:6");
  CHECK(settings.reports_usage);
  CHECK_FALSE(settings.orders_servers);
  CHECK(settings.usage_window == std::chrono::milliseconds(2500));
  CHECK(settings.usage_due == std::chrono::seconds(10));
  CHECK(settings.server_plan.headroom == 1.5);
  arguments.emplace_back("--regular-part=2");
  const auto rejected = parse_command_line(arguments);
  REQUIRE_FALSE(rejected);
  CHECK(has_error_for(rejected.error(), "regular-part"));
}

TEST_CASE("empty keys for duties in the file select the defaults") {
  const std::string path = "/tmp/ochrespring-no-duties-" + std::to_string(::getpid());
  std::ofstream(path) << "cloud = \"\"\nduties = \"\"\nusage-window-s = \"\"\nusage-due-s = \"\"\n";
  std::vector<std::string> arguments = kValidArguments;
  arguments.push_back("--config=" + path);
  const auto parsed = parse_command_line(arguments);
  std::remove(path.c_str());
  REQUIRE(parsed);
  CHECK(parsed.value().settings.cloud.empty());
  CHECK_FALSE(parsed.value().settings.reports_usage);
  CHECK_FALSE(parsed.value().settings.orders_servers);
  CHECK(parsed.value().settings.usage_window == std::chrono::seconds(5));
}

TEST_CASE("queue limits are integers within a range, and the queue is disabled by default") {
  CHECK(parse_command_line(kValidArguments).value().settings.queue.requests == 0);
  std::vector<std::string> arguments = kValidArguments;
  arguments.emplace_back("--queue-most-requests=500");
  arguments.emplace_back("--queue-most-bytes=4096");
  const auto parsed = parse_command_line(arguments);
  REQUIRE(parsed);
  CHECK(parsed.value().settings.queue.requests == 500);
  CHECK(parsed.value().settings.queue.bytes == 4096);
  for (const char* invalid : {"--queue-most-requests=-1", "--queue-most-requests=20001",
                              "--queue-most-requests=1.5", "--queue-most-requests=many"}) {
    arguments.back() = invalid;
    const auto rejected = parse_command_line(arguments);
    REQUIRE_FALSE(rejected);
    CHECK(has_error_for(rejected.error(), "queue-most-requests"));
  }
  arguments.back() = "--queue-most-bytes=0";
  CHECK(has_error_for(parse_command_line(arguments).error(), "queue-most-bytes"));
}
