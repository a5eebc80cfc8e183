// The subcommand engine.
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <vector>

#include "external/http/json.h"
#include "external/http/weight_store.h"
#include "standin/commands.h"
#include "standin/common_options.h"
#include "standin/engine_front.h"
#include "standin/runner.h"

namespace ochrespring::standin {

namespace {

constexpr int kCrashExitCode = 70;

struct EngineOptions {
  CommonOptions common;
  IdOptions ids;
  std::vector<std::string> roles{"mixed"};
  std::vector<std::string> servers;
  std::vector<std::string> zones;
  std::string region;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string weights;
  double report_lag_ms = 1000;
  double cache_event_lag_ms = 1000;
  double role_change_ms = 5000;
  double model_change_ms = 20000;
  double restart_ms = 30000;
  EngineFrontSettings front;
};

/// The value for the engine at `index` of an option given once for all or once an engine.
std::string nth(const std::vector<std::string>& values, std::size_t index) {
  if (values.empty()) {
    return {};
  }
  return values.size() == 1 ? values.front() : values.at(index % values.size());
}

EngineFrontSettings settings_of(const EngineOptions& options, const std::string& id,
                                std::size_t index, Incarnation incarnation) {
  EngineFrontSettings settings = options.front;
  settings.listen = listen_address(options.common.listen, index);
  settings.fault_seed = options.common.fault_seed + index;
  settings.place = {ServerId(nth(options.servers, index)), ZoneName(nth(options.zones, index)),
                    RegionName(options.region)};
  EngineProcessSettings& process = settings.process;
  process.initial.engine = EngineId(id);
  process.initial.incarnation = incarnation;
  process.initial.role = external::role_of(nth(options.roles, index));
  process.initial.model = ModelName(options.model);
  process.initial.version = VersionName(options.version);
  for (const std::string& adapter : options.adapters) {
    process.initial.adapters.emplace_back(adapter);
  }
  process.report_lag = milliseconds_span(options.report_lag_ms);
  process.cache_event_lag = milliseconds_span(options.cache_event_lag_ms);
  process.parameters.role_change = milliseconds_span(options.role_change_ms);
  process.parameters.model_change = milliseconds_span(options.model_change_ms);
  process.parameters.restart = milliseconds_span(options.restart_ms);
  return settings;
}

/// Differs from that of every earlier process of this engine.
Incarnation incarnation_now(const Clock& clock) {
  const auto since_epoch = clock.wall_now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()));
}

void run_engines(const EngineOptions& options) {
  http::EventLoop loop;
  http::Client client(loop);
  const SystemClock clock;
  std::unique_ptr<external::HttpWeightStore> weights;
  if (!options.weights.empty()) {
    weights = std::make_unique<external::HttpWeightStore>(client, Endpoint(options.weights));
  }
  std::vector<std::unique_ptr<EngineFront>> engines;
  std::vector<ServedStandin> served;
  for (const std::string& id : ids_of(options.ids)) {
    const auto settings = settings_of(options, id, engines.size(), incarnation_now(clock));
    EngineFront* engine = engines
                              .emplace_back(std::make_unique<EngineFront>(loop, clock, client,
                                                                          weights.get(), settings))
                              .get();
    engine->process().on_crash_exit([] { _exit(kCrashExitCode); });
    served.push_back({id, &engine->front(), [engine] { engine->drain(); },
                      [engine] { return engine->in_flight() == 0; }});
  }
  throw CLI::RuntimeError(serve(loop, "engine", options.common, served));
}

void add_span(CLI::App& command, const char* name, double& milliseconds, const char* help) {
  command.add_option(name, milliseconds, help)
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
}

void add_identity_options(CLI::App& command, EngineOptions& options) {
  command.add_option("--role", options.roles, "mixed, prefill or decode; once, or once an engine")
      ->check(CLI::IsMember({"mixed", "prefill", "decode"}));
  command.add_option("--server", options.servers, "machine; once, or once an engine");
  command.add_option("--zone", options.zones, "once, or once an engine");
  command.add_option("--region", options.region, "region of all engines");
  command.add_option("--model", options.model, "model loaded at the start");
  command.add_option("--model-version", options.version, "version loaded at the start");
  command.add_option("--adapter", options.adapters, "adapter loaded at the start; repeatable");
  command.add_option("--weights", options.weights, "address of the weight store");
}

void add_timing_options(CLI::App& command, EngineOptions& options) {
  add_span(command, "--report-lag-ms", options.report_lag_ms, "age of load reports");
  add_span(command, "--cache-event-lag-ms", options.cache_event_lag_ms, "age of cache events");
  add_span(command, "--role-change-ms", options.role_change_ms, "model time of a role change");
  add_span(command, "--model-change-ms", options.model_change_ms,
           "model time of a load without a weight store");
  add_span(command, "--restart-ms", options.restart_ms, "model time of a restart after a crash");
  command
      .add_option("--time-scale", options.front.process.time_scale, "model seconds per real second")
      ->check(CLI::Range(0.001, 1000.0))
      ->capture_default_str();
}

void add_capacity_options(CLI::App& command, EngineOptions& options) {
  engine_model::EngineParameters& parameters = options.front.process.parameters;
  command.add_option("--kv-tokens", parameters.kv_tokens_capacity, "KV memory in tokens")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command.add_option("--maximum-sequences", parameters.maximum_sequences, "running at once")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command.add_option("--queue-limit", options.front.queue_limit, "requests inside at once")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  command
      .add_option("--cache-event-loss", options.front.process.cache_event_loss,
                  "probability of a cache event never being published")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  command.add_flag("--any-model", options.front.any_model, "answer for every model name");
  command.add_flag("--no-cost", options.front.no_cost, "answer at once, without modelled cost");
}

}  // namespace

void register_engine_command(CLI::App& app) {
  auto options = std::make_shared<EngineOptions>();
  options->ids.prefix = "engine";
  CLI::App* command = app.add_subcommand("engine", "model engines");
  add_common_options(*command, options->common);
  add_id_options(*command, options->ids);
  add_identity_options(*command, *options);
  add_timing_options(*command, *options);
  add_capacity_options(*command, *options);
  command->callback([options] { run_engines(*options); });
}

}  // namespace ochrespring::standin
