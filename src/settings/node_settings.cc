#include "settings/node_settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <map>
#include <utility>

#include "settings/app_runner.h"
#include "settings/setting_table.h"

namespace ochrespring::settings {

namespace {

constexpr const char* kVersion = "0.1.0";

using Errors = std::vector<SettingsError>;

/// Values given for each key, before validation.
using GivenTexts = std::map<std::string, std::vector<std::string>>;

std::string describe(const SettingSpecification& specification) {
  std::string text = specification.help + " (" + specification.allowed + ")";
  if (!specification.default_value.empty()) {
    text += " [" + specification.default_value + "]";
  }
  return text;
}

void check_setting(const SettingSpecification& specification, const GivenTexts& given,
                   NodeSettings& settings, Errors& errors) {
  std::vector<std::string> texts = given.at(specification.key);
  if (texts.empty() && !specification.default_value.empty()) {
    texts.push_back(specification.default_value);
  }
  if (texts.empty() && specification.required) {
    errors.push_back({SettingsErrc::kMissing,
                      specification.key + ": not given; allowed: " + specification.allowed});
  }
  for (const std::string& text : texts) {
    if (!specification.store(text, settings)) {
      errors.push_back(
          {SettingsErrc::kInvalidValue, specification.key + ": '" + text +
                                            "' is not allowed; allowed: " + specification.allowed});
    }
  }
}

void check_tls(const std::string& prefix, const std::optional<TlsSettings>& tls,
               bool needs_authority, Errors& errors) {
  if (!tls) {
    return;
  }
  const auto need = [&](const std::string& key, const std::string& value) {
    if (value.empty()) {
      errors.push_back({SettingsErrc::kMissing,
                        prefix + "-tls-" + key + ": not given or invalid, but required when any " +
                            prefix + "-tls setting is given"});
    }
  };
  need("certificate", tls->certificate);
  need("key", tls->key);
  if (needs_authority) {
    need("authority", tls->authority);
  }
}

/// Reports names that are neither flags nor keys. The values that follow them are skipped.
void report_unknown(const std::vector<std::string>& remaining, Errors& errors) {
  for (const std::string& item : remaining) {
    errors.push_back({SettingsErrc::kUnknownKey, "unknown setting '" + item + "'; see --help"});
  }
}

/// The flags of the program, all parsed as text so that every error can be reported.
class CommandLineParser {
 public:
  CommandLineParser() : table_(make_setting_table()) {
    app_.set_version_flag("--version", kVersion);
    app_.add_flag("--check", check_, "Validate the settings and exit");
    app_.set_config("--config", "",
                    "File with `key = value` lines; the keys are these flags' names");
    app_.allow_extras(true);
    app_.allow_config_extras(CLI::config_extras_mode::capture);
    for (const SettingSpecification& specification : table_) {
      std::vector<std::string>& texts = given_[specification.key];
      CLI::Option* option =
          app_.add_option("--" + specification.key, texts, describe(specification));
      option->delimiter(',');
      if (!specification.repeated) {
        option->expected(1);
        option->multi_option_policy(CLI::MultiOptionPolicy::TakeLast);
      }
    }
  }

  Result<ParsedCommandLine, Errors> parse(std::vector<std::string> arguments) {
    BOOST_OUTCOME_TRY(text, run_app(app_, std::move(arguments), kVersion));
    if (text) {
      return ParsedCommandLine{Command::kHelp, {}, std::move(*text)};
    }
    ParsedCommandLine parsed;
    Errors errors = check(parsed.settings);
    if (!errors.empty()) {
      return outcome::failure(std::move(errors));
    }
    parsed.command = check_ ? Command::kCheck : Command::kRun;
    return parsed;
  }

 private:
  Errors check(NodeSettings& settings) const {
    Errors errors;
    report_unknown(app_.remaining(), errors);
    for (const SettingSpecification& specification : table_) {
      check_setting(specification, given_, settings, errors);
    }
    check_tls("caller", settings.caller_tls, false, errors);
    check_tls("operator", settings.operator_tls, false, errors);
    check_tls("peer", settings.peer_tls, true, errors);
    return errors;
  }

  std::vector<SettingSpecification> table_;
  GivenTexts given_;
  bool check_ = false;
  CLI::App app_{"ochrespringd: one node of an ochrespring fleet", "ochrespringd"};
};

}  // namespace

Result<ParsedCommandLine, std::vector<SettingsError>> parse_command_line(
    const std::vector<std::string>& arguments) {
  return CommandLineParser().parse(arguments);
}

}  // namespace ochrespring::settings
