#include "settings/node_settings.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>

namespace ochrespring::settings {

namespace {

const std::vector<std::string> kRequiredArguments{
    "--node", "node-1", "--zone", "manta", "--key-value-store", "127.0.0.1:7001"};

std::vector<std::string> with(std::vector<std::string> more) {
  std::vector<std::string> arguments = kRequiredArguments;
  arguments.insert(arguments.end(), more.begin(), more.end());
  return arguments;
}

std::vector<std::string> messages(const std::vector<std::string>& arguments) {
  const auto parsed = parse_command_line(arguments);
  std::vector<std::string> texts;
  if (!parsed) {
    for (const SettingsError& error : parsed.error()) {
      texts.push_back(error.message);
    }
  }
  return texts;
}

bool any_has(const std::vector<std::string>& texts, const std::string& part) {
  return std::any_of(texts.begin(), texts.end(),
                     [&](const std::string& text) { return text.find(part) != std::string::npos; });
}

/// Temporary settings file, deleted on destruction.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& content) {
    const int descriptor = mkstemp(name_.data());
    REQUIRE(descriptor >= 0);
    close(descriptor);
    std::ofstream(name_.data()) << content;
  }
  ~SettingsFile() { unlink(name_.data()); }
  std::string name() const { return name_.data(); }

 private:
  std::array<char, 40> name_{"/tmp/ochrespring-settings-XXXXXX"};
};

}  // namespace

TEST_CASE("flags and defaults give complete settings") {
  const auto parsed = parse_command_line(with({"--seeds", "10.0.0.1:7000,10.0.0.2:7000"}));
  REQUIRE(parsed.has_value());
  const NodeSettings& settings = parsed.value().settings;
  CHECK(parsed.value().command == Command::kRun);
  CHECK(settings.node == NodeId("node-1"));
  CHECK(settings.listen == Endpoint("127.0.0.1:0"));
  CHECK(settings.proxy_loops == 2);
  CHECK(settings.seeds.size() == 2);
}

TEST_CASE("settings are read from a file, and flags take precedence") {
  const SettingsFile file(
      "node = \"node-2\"\nzone = \"posorja\"\nkey-value-store = \"127.0.0.1:7001\"\n"
      "proxy-loops = 4\nseeds = [\"10.0.0.1:7000\", \"10.0.0.2:7000\"]\n");
  const auto parsed =
      parse_command_line({"--config", file.name(), "--proxy-loops", "8", "--check"});
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().command == Command::kCheck);
  CHECK(parsed.value().settings.node == NodeId("node-2"));
  CHECK(parsed.value().settings.proxy_loops == 8);
  CHECK(parsed.value().settings.seeds.size() == 2);
}

TEST_CASE("an error names the key, the value and what is allowed") {
  const auto texts = messages(with({"--proxy-loops", "900"}));
  REQUIRE(texts.size() == 1);
  CHECK(texts[0] == "proxy-loops: '900' is not allowed; allowed: a whole number from 1 to 64");
}

TEST_CASE("every error in a file is reported") {
  const SettingsFile file(
      "node = \"Node 2\"\nzone = \"posorja\"\nkey-value-store = \"kv:7001\"\nproxy-lops = 4\n");
  const auto texts = messages({"--config", file.name()});
  CHECK(any_has(texts, "node: 'Node 2'"));
  CHECK(any_has(texts, "key-value-store: 'kv:7001'"));
  CHECK(any_has(texts, "unknown setting 'proxy-lops'"));
}

TEST_CASE("missing, unknown and unreadable settings are named") {
  CHECK(any_has(messages({}), "zone: not given"));
  CHECK(any_has(messages(with({"--bogus"})), "unknown setting '--bogus'"));
  CHECK(any_has(messages(with({"--config", "/nonexistent"})), "/nonexistent"));
  CHECK(any_has(messages(with({"--peer-tls-key", "/nonexistent"})), "peer-tls-key"));
  CHECK(any_has(messages(with({"--peer-tls-key", "/dev/null"})), "peer-tls-authority"));
  CHECK(any_has(messages(with({"--seeds", "10.0.0.1:0"})), "seeds: '10.0.0.1:0'"));
}

TEST_CASE("help shows settings with their allowed values") {
  const auto parsed = parse_command_line({"--help"});
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().command == Command::kHelp);
  CHECK(parsed.value().text.find("--peer-tls-authority") != std::string::npos);
  CHECK(parsed.value().text.find("a whole number from 1 to 64") != std::string::npos);
}

}  // namespace ochrespring::settings
