// The subcommands kv, machines, weights and relay.
#include <memory>
#include <vector>

#include "standin/commands.h"
#include "standin/common_options.h"
#include "standin/key_value_front.h"
#include "standin/machines_front.h"
#include "standin/relay_front.h"
#include "standin/runner.h"
#include "standin/weights_front.h"

namespace ochrespring::standin {

namespace {

struct KeyValueOptions {
  CommonOptions common;
  KeyValueFrontSettings front;
};

void run_key_value(KeyValueOptions options) {
  http::EventLoop loop;
  const SystemClock clock;
  options.front.listen = Endpoint(options.common.listen);
  options.front.fault_seed = options.common.fault_seed;
  KeyValueFront service(loop, clock, options.front);
  throw CLI::RuntimeError(
      serve(loop, "kv", options.common, {{"kv", &service.front(), nullptr, nullptr}}));
}

struct MachinesOptions {
  CommonOptions common;
  double lag_ms = 1000;
  std::vector<std::string> machines;
};

/// `name,zone,region[,peer endpoint]`
external::Machine machine_in(const std::string& text) {
  const std::vector<std::string> parts = CLI::detail::split(text, ',');
  constexpr std::size_t kFewestParts = 3;
  constexpr std::size_t kMostParts = 4;
  if (parts.size() < kFewestParts || parts.size() > kMostParts) {
    throw CLI::ValidationError("--machine", "must be name,zone,region[,endpoint]: " + text);
  }
  external::Machine machine;
  machine.name = parts[0];
  machine.zone = ZoneName(parts[1]);
  machine.region = RegionName(parts[2]);
  machine.peer_endpoint = Endpoint(parts.size() == kMostParts ? parts[3] : std::string());
  return machine;
}

void run_machines(const MachinesOptions& options) {
  http::EventLoop loop;
  const SystemClock clock;
  MachinesFrontSettings settings;
  settings.listen = Endpoint(options.common.listen);
  settings.fault_seed = options.common.fault_seed;
  settings.lag = milliseconds_span(options.lag_ms);
  for (const std::string& machine : options.machines) {
    settings.machines.push_back(machine_in(machine));
  }
  MachinesFront service(loop, clock, settings);
  throw CLI::RuntimeError(
      serve(loop, "machines", options.common, {{"machines", &service.front(), nullptr, nullptr}}));
}

struct WeightsOptions {
  CommonOptions common;
  WeightStoreSettings store;
};

void run_weights(const WeightsOptions& options) {
  http::EventLoop loop;
  const SystemClock clock;
  WeightsFrontSettings settings;
  settings.listen = Endpoint(options.common.listen);
  settings.fault_seed = options.common.fault_seed;
  settings.store = options.store;
  WeightsFront service(loop, clock, settings);
  throw CLI::RuntimeError(
      serve(loop, "weights", options.common, {{"weights", &service.front(), nullptr, nullptr}}));
}

struct RelayOptions {
  CommonOptions common;
  IdOptions ids;
  double service_time_ms = 5;
  std::uint32_t concurrent_calls = 256;
};

void run_relay(const RelayOptions& options) {
  http::EventLoop loop;
  std::vector<std::unique_ptr<RelayFront>> relays;
  std::vector<ServedStandin> served;
  for (const std::string& id : ids_of(options.ids)) {
    RelayFrontSettings settings;
    settings.id = EngineId(id);
    settings.listen = listen_address(options.common.listen, relays.size());
    settings.fault_seed = options.common.fault_seed + relays.size();
    settings.service_time = milliseconds_span(options.service_time_ms);
    settings.concurrent_calls = options.concurrent_calls;
    RelayFront* relay = relays.emplace_back(std::make_unique<RelayFront>(loop, settings)).get();
    served.push_back({id, &relay->front(), [relay] { relay->drain(); },
                      [relay] { return relay->in_flight() == 0; }});
  }
  throw CLI::RuntimeError(serve(loop, "relay", options.common, served));
}

}  // namespace

void register_key_value_command(CLI::App& app) {
  auto options = std::make_shared<KeyValueOptions>();
  CLI::App* command = app.add_subcommand("kv", "key-value service");
  add_common_options(*command, options->common);
  command
      ->add_option("--calls-per-second", options->front.table.calls_per_second,
                   "rate limit over all clients; 0: none")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command
      ->add_option("--burst-calls", options->front.table.burst_calls, "calls let through at once")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command->callback([options] { run_key_value(*options); });
}

void register_machines_command(CLI::App& app) {
  auto options = std::make_shared<MachinesOptions>();
  CLI::App* command = app.add_subcommand("machines", "list of live and leaving machines");
  add_common_options(*command, options->common);
  command->add_option("--lag-ms", options->lag_ms, "age of what readers are shown")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command->add_option("--machine", options->machines, "name,zone,region[,endpoint]; repeatable");
  command->callback([options] { run_machines(*options); });
}

void register_weights_command(CLI::App& app) {
  auto options = std::make_shared<WeightsOptions>();
  CLI::App* command = app.add_subcommand("weights", "store of model weights");
  add_common_options(*command, options->common);
  command
      ->add_option("--bytes-per-second", options->store.bytes_per_second,
                   "bandwidth of all fetches together; 0: no limit")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command
      ->add_option("--concurrent-fetches", options->store.concurrent_fetches,
                   "above it fetches are refused")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command->callback([options] { run_weights(*options); });
}

void register_relay_command(CLI::App& app) {
  auto options = std::make_shared<RelayOptions>();
  options->ids.prefix = "relay";
  CLI::App* command = app.add_subcommand("relay", "ordinary back ends that count what they run");
  add_common_options(*command, options->common);
  add_id_options(*command, options->ids);
  command->add_option("--service-time-ms", options->service_time_ms, "time each call takes")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command->add_option("--concurrent-calls", options->concurrent_calls, "above it calls are refused")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command->callback([options] { run_relay(*options); });
}

}  // namespace ochrespring::standin
