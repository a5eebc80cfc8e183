#include "settings/setting_table.h"

#include <utility>

#include "settings/setting_checks.h"

namespace ochrespring::settings {

namespace {

constexpr NumberRange kProxyLoopsRange{1, 64};
constexpr NumberRange kBodyBytesRange{1024, 1U << 30U};
constexpr NumberRange kPeerQueueBytesRange{64U << 10U, 256U << 20U};

using Store = std::function<bool(const std::string&, NodeSettings&)>;

/// Stores a name in a strongly typed member.
template <class Name>
Store store_name(Name NodeSettings::*member) {
  return [member](const std::string& text, NodeSettings& settings) {
    std::string value;
    if (!read_name(text, value)) {
      return false;
    }
    settings.*member = Name(value);
    return true;
  };
}

Store store_listen(Endpoint NodeSettings::*member) {
  return [member](const std::string& text, NodeSettings& settings) {
    return read_listen_endpoint(text, settings.*member);
  };
}

Store store_remote(Endpoint NodeSettings::*member) {
  return [member](const std::string& text, NodeSettings& settings) {
    return read_remote_endpoint(text, settings.*member);
  };
}

template <class Number>
Store store_number(Number NodeSettings::*member, NumberRange range) {
  return [member, range](const std::string& text, NodeSettings& settings) {
    std::uint64_t value = 0;
    if (!read_number(text, range, value)) {
      return false;
    }
    settings.*member = static_cast<Number>(value);
    return true;
  };
}

Store store_file(std::optional<TlsSettings> NodeSettings::*tls, std::string TlsSettings::*member) {
  return [tls, member](const std::string& text, NodeSettings& settings) {
    if (!(settings.*tls)) {
      (settings.*tls).emplace();
    }
    return read_file_name(text, *(settings.*tls).*member);
  };
}

bool store_seed(const std::string& text, NodeSettings& settings) {
  Endpoint seed;
  if (!read_remote_endpoint(text, seed)) {
    return false;
  }
  settings.seeds.push_back(seed);
  return true;
}

bool store_level(const std::string& text, NodeSettings& settings) {
  return read_level(text, settings.log_level);
}

SettingSpecification required(std::string key, std::string help, std::string allowed, Store store) {
  return {std::move(key), std::move(help), std::move(allowed), "", true, false, std::move(store)};
}

SettingSpecification optional(std::string key, std::string help, std::string allowed,
                              std::string default_value, Store store) {
  return {std::move(key), std::move(help), std::move(allowed), std::move(default_value),
          false,          false,           std::move(store)};
}

void add_identity(std::vector<SettingSpecification>& table) {
  table.push_back(required("node", "Name of this node, unique in its cluster", kNameRule,
                           store_name(&NodeSettings::node)));
  table.push_back(
      required("zone", "Zone this node is in", kNameRule, store_name(&NodeSettings::zone)));
  table.push_back(optional("region", "Region this node is in", kNameRule, "region-1",
                           store_name(&NodeSettings::region)));
  table.push_back(optional("cluster", "Cluster of this node; nodes communicate only within it",
                           kNameRule, "ochrespring", store_name(&NodeSettings::cluster)));
}

void add_addresses(std::vector<SettingSpecification>& table) {
  table.push_back(optional("listen", "Address for callers' HTTP", kEndpointRule, "127.0.0.1:0",
                           store_listen(&NodeSettings::listen)));
  table.push_back(optional("operator-listen", "Address for operators' RPC", kEndpointRule,
                           "127.0.0.1:0", store_listen(&NodeSettings::operator_listen)));
  table.push_back(optional("admin-listen", "Address for /metrics, /healthz and /readyz",
                           kEndpointRule, "127.0.0.1:0",
                           store_listen(&NodeSettings::admin_listen)));
  table.push_back(optional("peer-listen", "Address for other nodes", kEndpointRule, "127.0.0.1:0",
                           store_listen(&NodeSettings::peer_listen)));
  table.push_back(optional("peer-advertise",
                           "Address that other nodes use; default: the bound address",
                           kPeerEndpointRule, "", store_remote(&NodeSettings::peer_advertise)));
  SettingSpecification seeds = optional("seeds", "Peer addresses of nodes to join through",
                                        kPeerEndpointRule, "", &store_seed);
  seeds.repeated = true;
  table.push_back(std::move(seeds));
  table.push_back(required("key-value-store", "Address of the platform's key-value service",
                           kPeerEndpointRule, store_remote(&NodeSettings::key_value_store)));
  table.push_back(optional("machine-list", "Address of the platform's machine list",
                           kPeerEndpointRule, "", store_remote(&NodeSettings::machine_list)));
}

void add_limits(std::vector<SettingSpecification>& table) {
  table.push_back(optional("proxy-loops", "Event loops (threads) that serve callers",
                           kProxyLoopsRange.describe(), "2",
                           store_number(&NodeSettings::proxy_loops, kProxyLoopsRange)));
  table.push_back(optional("largest-body-bytes", "Largest request body accepted from callers",
                           kBodyBytesRange.describe(), "8388608",
                           store_number(&NodeSettings::largest_body_bytes, kBodyBytesRange)));
  table.push_back(optional("peer-queue-bytes",
                           "Maximum size of the messages queued for one peer, in bytes",
                           kPeerQueueBytesRange.describe(), "4194304",
                           store_number(&NodeSettings::peer_queue_bytes, kPeerQueueBytesRange)));
  table.push_back(
      optional("log-level", "Minimum level that is logged", kLevelRule, "info", &store_level));
}

void add_tls(std::vector<SettingSpecification>& table, const std::string& prefix,
             const std::string& traffic, std::optional<TlsSettings> NodeSettings::*tls) {
  table.push_back(optional(prefix + "-tls-certificate", "PEM certificate chain for " + traffic,
                           kFileRule, "", store_file(tls, &TlsSettings::certificate)));
  table.push_back(optional(prefix + "-tls-key", "PEM key for " + traffic, kFileRule, "",
                           store_file(tls, &TlsSettings::key)));
  table.push_back(optional(
      prefix + "-tls-authority",
      "PEM file of the CA that must have signed the other side's certificate, for " + traffic,
      kFileRule, "", store_file(tls, &TlsSettings::authority)));
}

}  // namespace

std::vector<SettingSpecification> make_setting_table() {
  std::vector<SettingSpecification> table;
  add_identity(table);
  add_addresses(table);
  add_limits(table);
  add_tls(table, "caller", "callers", &NodeSettings::caller_tls);
  add_tls(table, "operator", "operators", &NodeSettings::operator_tls);
  add_tls(table, "peer", "other nodes", &NodeSettings::peer_tls);
  return table;
}

}  // namespace ochrespring::settings
