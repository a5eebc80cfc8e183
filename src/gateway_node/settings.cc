#include "gateway_node/settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <functional>
#include <map>
#include <sstream>
#include <utility>

#include "settings/app_runner.h"
#include "settings/setting_checks.h"

namespace ochrespring::gateway_node {

namespace {

using settings::Command;
using settings::NumberRange;
using settings::SettingsErrc;
using settings::SettingsError;
using Errors = std::vector<SettingsError>;

constexpr const char* kVersion = "0.2.0";
constexpr NumberRange kMillisecondRange{1, 600'000};
constexpr const char* kMillisecondRule = "whole milliseconds from 1 to 600000";
constexpr const char* kRatioRule = "a number from 0 to 10";
constexpr const char* kSlackRule = "a number from 0 to 1000000";
constexpr const char* kSeedsRule = "comma-separated addresses IP:PORT";
constexpr const char* kMegabitRule = "megabits per second from 0 to 10000000";
constexpr const char* kZeroOrOneRule = "0 or 1";
constexpr const char* kRelayFromNodesRule = "a number from 2 to 1000000";
constexpr const char* kDutiesRule = "comma-separated names: usage_report, autoscale";
constexpr const char* kHeadroomRule = "a number from 0 to 10";
constexpr const char* kFractionRule = "a number from 0 to 1";
/// A waiting request takes a few kilobytes besides its body, and a node has 120 MB of memory.
constexpr NumberRange kQueueRequestsRange{0, 20'000};
constexpr const char* kQueueRequestsRule = "a whole number from 0 to 20000; 0 disables the queue";
constexpr NumberRange kQueueBytesRange{1'024, 1'073'741'824};
constexpr const char* kQueueBytesRule = "whole bytes from 1024 to 1073741824";
constexpr NumberRange kCallerMemoryRange{1'048'576, 1'073'741'824'000};
constexpr const char* kCallerMemoryRule = "whole bytes from 1048576 to 1073741824000";
constexpr NumberRange kCallerConnectionsRange{0, 1'000'000};
constexpr const char* kCallerConnectionsRule =
    "a whole number from 0 to 1000000; 0: three eighths of the process's descriptors, at most 1500";
constexpr const char* kSecondsRule = "seconds from 0.1 to 3600";

struct Specification {
  std::string key;
  std::string help;
  std::string allowed;
  std::string default_value;
  bool required = false;
  std::function<bool(const std::string&, Settings&)> parse;
};

template <class Text>
auto name_parser(Text Settings::*member) {
  return [member](const std::string& text, Settings& settings) {
    std::string name;
    const bool allowed = settings::read_name(text, name);
    settings.*member = Text(name);
    return allowed;
  };
}

auto listen_parser(Endpoint Settings::*member) {
  return [member](const std::string& text, Settings& settings) {
    return settings::read_listen_endpoint(text, settings.*member);
  };
}

auto milliseconds_parser(Duration Settings::*member) {
  return [member](const std::string& text, Settings& settings) {
    std::uint64_t number = 0;
    const bool allowed = settings::read_number(text, kMillisecondRange, number);
    settings.*member = std::chrono::milliseconds(number);
    return allowed;
  };
}

bool read_real(const std::string& text, double min, double max, double& value) {
  char* end = nullptr;
  value = std::strtod(text.c_str(), &end);
  return end != text.c_str() && *end == '\0' && value >= min && value <= max;
}

template <class Limits>
auto limit_parser(Limits Settings::*limits, std::size_t Limits::*member, NumberRange range) {
  return [=](const std::string& text, Settings& settings) {
    std::uint64_t number = 0;
    const bool allowed = settings::read_number(text, range, number);
    settings.*limits.*member = number;
    return allowed;
  };
}

/// Parses a number and stores it as an integer; a fraction is discarded.
template <class Member>
auto integer_parser(Member Settings::*member, double min, double max) {
  return [=](const std::string& text, Settings& settings) {
    double number = 0;
    const bool allowed = read_real(text, min, max, number);
    if (allowed) {
      settings.*member = static_cast<Member>(number);
    }
    return allowed;
  };
}

bool parse_seconds(const std::string& text, Duration& duration) {
  double seconds = 0;
  const bool allowed = read_real(text, 0.1, 3600, seconds);
  duration = from_seconds(seconds);
  return allowed;
}

bool parse_seeds(const std::string& text, Settings& settings) {
  std::istringstream addresses(text);
  std::string address;
  settings.seeds.clear();
  while (std::getline(addresses, address, ',')) {
    if (!settings::read_remote_endpoint(address, settings.seeds.emplace_back())) {
      return false;
    }
  }
  return true;
}

auto duration_parser(Duration Settings::*member) {
  return [member](const std::string& text, Settings& settings) {
    return parse_seconds(text, settings.*member);
  };
}

/// Ignores names of unknown duties, which other nodes may know.
bool parse_duties(const std::string& text, Settings& settings) {
  std::istringstream names(text);
  std::string name;
  while (std::getline(names, name, ',')) {
    settings.reports_usage = settings.reports_usage || name == "usage_report";
    settings.orders_servers = settings.orders_servers || name == "autoscale";
  }
  return true;
}

std::vector<Specification> make_specifications() {
  return {
      {"node", "Name of this node", settings::kNameRule, "", true, name_parser(&Settings::node)},
      {"zone", "Zone of this node", settings::kNameRule, "", true, name_parser(&Settings::zone)},
      {"listen", "Address for callers' requests", settings::kEndpointRule, "", true,
       listen_parser(&Settings::listen)},
      {"ready-listen", "Address for readiness checks", settings::kEndpointRule, "", true,
       listen_parser(&Settings::ready_listen)},
      {"directory-listen", "Address for lookups of nodes", settings::kEndpointRule, "", true,
       listen_parser(&Settings::directory_listen)},
      {"peer-listen", "Address for other nodes' datagrams", settings::kEndpointRule, "", true,
       listen_parser(&Settings::peer_listen)},
      {"metrics-listen", "Address for /metrics; none if absent", settings::kEndpointRule, "", false,
       listen_parser(&Settings::metrics_listen)},
      {"view-listen", "Address for other nodes' requests for this node's view; none if absent",
       settings::kEndpointRule, "", false, listen_parser(&Settings::view_listen)},
      {"seeds", "View addresses of nodes to ask for a view while this node has none", kSeedsRule,
       "", false, parse_seeds},
      {"store", "Address of the shared store", settings::kPeerEndpointRule, "", true,
       [](const std::string& text, Settings& target) {
         return settings::read_remote_endpoint(text, target.store);
       }},
      {"retry-ratio", "Retries allowed per request, over all nodes", kRatioRule, "0.1", false,
       [](const std::string& text, Settings& target) {
         return read_real(text, 0, 10, target.retry_budget.ratio);
       }},
      {"retry-slack", "Additional retries allowed in any window, over all nodes", kSlackRule, "10",
       false,
       [](const std::string& text, Settings& target) {
         return read_real(text, 0, 1e6, target.retry_budget.slack);
       }},
      {"retry-window-s", "Window of the retry budget", kSecondsRule, "10", false,
       [](const std::string& text, Settings& target) {
         return parse_seconds(text, target.retry_budget.window);
       }},
      {"queue-most-requests",
       "Maximum number of requests per service that wait at this node for full back ends",
       kQueueRequestsRule, "0", false,
       limit_parser(&Settings::queue, &admission_queue::QueueLimits::requests,
                    kQueueRequestsRange)},
      {"queue-most-bytes", "Maximum total size of the bodies of waiting requests per service",
       kQueueBytesRule, "16777216", false,
       limit_parser(&Settings::queue, &admission_queue::QueueLimits::bytes, kQueueBytesRange)},
      {"caller-memory-bytes",
       "Maximum size of what this node holds for clients: requests that are being read, accepted "
       "requests, unread answers",
       kCallerMemoryRule, "41943040", false,
       limit_parser(&Settings::callers, &http::CallerLimits::memory_bytes, kCallerMemoryRange)},
      {"caller-connections", "Maximum number of connections from clients, over all listeners",
       kCallerConnectionsRule, "0", false,
       limit_parser(&Settings::callers, &http::CallerLimits::connections, kCallerConnectionsRange)},
      {"replicate-resumable-streams",
       "1: streams that may be resumed are also replicated to a second engine as they grow",
       kZeroOrOneRule, "0", false, integer_parser(&Settings::replicate_resumable_streams, 0, 1)},
      {"stop-grace-s",
       "Time that a planned stop may take; remaining requests are ended 0.5 s earlier",
       kSecondsRule, "8", false,
       [](const std::string& text, Settings& target) {
         return parse_seconds(text, target.stop_grace);
       }},
      {"node-lease-ms", "Time after which this node's registration expires if it is not renewed",
       kMillisecondRule, "3000", false, milliseconds_parser(&Settings::node_lease)},
      {"drain-bound-ms",
       "Time from the drain of a back end in the store to the last new request sent to it",
       kMillisecondRule, "2000", false, milliseconds_parser(&Settings::drain_bound)},
      {"configuration-bound-ms",
       "Time from the change of the configuration in the store to its being in force",
       kMillisecondRule, "2000", false, milliseconds_parser(&Settings::configuration_bound)},
      {"link-mbps", "Speed of this machine's network link, by which relays are selected",
       kMegabitRule, "0", false, integer_parser(&Settings::link_mbps, 0, 1e7)},
      {"relay-from-nodes",
       "Minimum number of nodes in the fleet at which broadcasts between them are relayed",
       kRelayFromNodesRule, "48", false, integer_parser(&Settings::relay_from_nodes, 2, 1e6)},
      {"relay-gather-ms", "Time for which a relay combines reports before it sends them",
       kMillisecondRule, "10", false, milliseconds_parser(&Settings::relay_batch_window)},
      {"cloud", "Address that receives usage reports and server orders; none if absent",
       settings::kPeerEndpointRule, "", false,
       [](const std::string& text, Settings& target) {
         return settings::read_remote_endpoint(text, target.cloud);
       }},
      {"duties", "Duties that one of the nodes performs for the fleet", kDutiesRule, "", false,
       parse_duties},
      {"usage-window-s", "Length of a usage window", kSecondsRule, "5", false,
       duration_parser(&Settings::usage_window)},
      {"usage-due-s", "Time from the end of a usage window to its report", kSecondsRule, "10",
       false, duration_parser(&Settings::usage_due)},
      {"preemptible-head-room",
       "Preemptible servers ordered for each server needed after the loss of a zone", kHeadroomRule,
       "1", false,
       [](const std::string& text, Settings& target) {
         return read_real(text, 0, 10, target.server_plan.headroom);
       }},
      {"regular-part", "Fraction of the needed servers that is never replaced by preemptible ones",
       kFractionRule, "0", false,
       [](const std::string& text, Settings& target) {
         return read_real(text, 0, 1, target.server_plan.min_regular_ratio);
       }},
      {"log-level", "Minimum level of log lines", settings::kLevelRule, "info", false,
       [](const std::string& text, Settings& target) {
         return settings::read_level(text, target.log_level);
       }},
  };
}

/// Reads all values as text first, so that all errors can be reported at once.
class CommandLineParser {
 public:
  CommandLineParser() : specifications_(make_specifications()) {
    app_.set_version_flag("--version", kVersion);
    app_.add_flag("--check", check_, "Validate the settings and exit");
    app_.set_config("--config", "",
                    "File with `key = value` lines; the keys are these flags' names");
    app_.allow_config_extras(CLI::config_extras_mode::ignore);
    for (const Specification& specification : specifications_) {
      const std::string help = specification.help + " (" + specification.allowed + ")";
      app_.add_option("--" + specification.key, values_[specification.key], help)
          ->multi_option_policy(CLI::MultiOptionPolicy::TakeLast);
    }
  }

  Result<ParsedCommandLine, Errors> parse(std::vector<std::string> arguments) {
    BOOST_OUTCOME_TRY(text, settings::run_app(app_, std::move(arguments), kVersion));
    if (text) {
      return ParsedCommandLine{Command::kHelp, {}, std::move(*text)};
    }
    ParsedCommandLine parsed;
    Errors errors;
    for (const Specification& specification : specifications_) {
      check(specification, parsed.settings, errors);
    }
    if (!errors.empty()) {
      return outcome::failure(std::move(errors));
    }
    parsed.settings.file = app_.get_config_ptr()->as<std::string>();
    parsed.command = check_ ? Command::kCheck : Command::kRun;
    return parsed;
  }

 private:
  void check(const Specification& specification, Settings& target, Errors& errors) const {
    std::string text = values_.at(specification.key);
    if (text.empty()) {
      text = specification.default_value;
    }
    if (text.empty()) {
      if (specification.required) {
        errors.push_back({SettingsErrc::kMissing,
                          specification.key + ": not given; allowed: " + specification.allowed});
      }
      return;
    }
    if (!specification.parse(text, target)) {
      errors.push_back(
          {SettingsErrc::kInvalidValue, specification.key + ": '" + text +
                                            "' is not allowed; allowed: " + specification.allowed});
    }
  }

  std::vector<Specification> specifications_;
  std::map<std::string, std::string> values_;
  bool check_ = false;
  CLI::App app_{"ochrespring-gateway: a gateway node that serves callers' requests",
                "ochrespring-gateway"};
};

}  // namespace

Result<ParsedCommandLine, std::vector<SettingsError>> parse_command_line(
    const std::vector<std::string>& arguments) {
  return CommandLineParser().parse(arguments);
}

}  // namespace ochrespring::gateway_node
