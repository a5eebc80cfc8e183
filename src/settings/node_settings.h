// Settings of a node. The same names serve as flags and as keys of the settings file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "logging/logger.h"

namespace ochrespring::settings {

/// PEM files that enable TLS for one kind of traffic.
struct TlsSettings {
  std::string certificate;
  std::string key;
  /// Empty: the other side needs no certificate (callers and operators only).
  std::string authority;
};

/// All start-up settings of a node; they do not change while it runs. The default values of
/// settings are those of make_setting_table().
struct NodeSettings {
  NodeId node;
  std::string cluster = "ochrespring";
  ZoneName zone;
  RegionName region;
  Endpoint listen;           ///< Address for callers' HTTP.
  Endpoint operator_listen;  ///< Address for operators' RPC.
  Endpoint admin_listen;     ///< Address for /metrics, /healthz and /readyz.
  Endpoint peer_listen;      ///< Address for other nodes.
  Endpoint peer_advertise;   ///< Address that other nodes use; empty: the bound address.
  std::vector<Endpoint> seeds;
  Endpoint key_value_store;
  Endpoint machine_list;
  std::uint32_t proxy_loops = 1;
  std::uint64_t largest_body_bytes = 0;
  std::uint64_t peer_queue_bytes = 0;  ///< Maximum per peer.
  std::optional<TlsSettings> caller_tls;
  std::optional<TlsSettings> operator_tls;
  std::optional<TlsSettings> peer_tls;
  logging::Level log_level = logging::Level::kInfo;
};

enum class SettingsErrc : std::uint8_t {
  kUnknownKey,
  kInvalidValue,
  kMissing,
  kFile,    ///< The settings file cannot be read.
  kSyntax,  ///< The command line or the file cannot be parsed.
};

/// One invalid setting; the message names the key, the value and what is allowed.
using SettingsError = LayerError<SettingsErrc>;

/// Action that the command line requests.
enum class Command : std::uint8_t {
  kRun,
  kCheck,  ///< --check: the settings are valid; exit.
  kHelp,   ///< --help or --version: print `text` and exit.
};

struct ParsedCommandLine {
  Command command = Command::kRun;
  NodeSettings settings;
  std::string text;
};

/// Parses flags and the file named by --config; flags take precedence. Reports all errors, not only
/// the first. Checks only what concerns this process: certificates are loaded by the code that uses
/// them.
Result<ParsedCommandLine, std::vector<SettingsError>> parse_command_line(
    const std::vector<std::string>& arguments);

}  // namespace ochrespring::settings
