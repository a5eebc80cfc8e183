#include "capacity/capacity_run.h"

#include <algorithm>
#include <functional>
#include <map>

#include "capacity/hollow_fleet.h"

namespace ochrespring::capacity {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(250);
constexpr Duration kPatience = seconds(120);
constexpr std::size_t kSampledNodes = 16;
constexpr std::size_t kSampledEngines = 24;
constexpr double kNinetyNinth = 0.99;

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

Spread spread_of(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  const double count = static_cast<double>(std::max<std::size_t>(values.size(), 1));
  return {sum / count, quantile(values, 0.5), quantile(values, 1)};
}

/// A node's counters at the start of the measured time.
struct Baseline {
  NodeMeter meter;
  NodeTraffic traffic;
  std::array<std::uint64_t, peer::kChannelCount> channels{};
};

class Measurement {
 public:
  explicit Measurement(const CapacitySettings& settings)
      : settings_(settings),
        fleet_(settings.shape, links(settings), settings.seed),
        wall_started_(SystemClock().now()) {}

  CapacityReport run() {
    start();
    measure_steady();
    if (settings_.faults) {
      report_.dead_node_seconds = lose_nodes({settings_.shape.nodes / 2});
      report_.leaving_server_seconds = let_server_leave();
      report_.lost_zone_seconds = lose_nodes(zone_of_first_node());
    }
    report_.wall_seconds = to_seconds(SystemClock().now() - wall_started_);
    return report_;
  }

 private:
  static FleetLinks links(const CapacitySettings& settings) {
    FleetLinks links;
    links.loss = settings.loss;
    return links;
  }

  /// Seconds until `holds`; none if it never does.
  std::optional<double> wait_for(const std::function<bool()>& holds) {
    const MonotonicTime start = fleet_.now();
    while (!holds()) {
      if (fleet_.now() - start > kPatience) {
        return std::nullopt;
      }
      fleet_.run(kStep);
    }
    return to_seconds(fleet_.now() - start);
  }

  bool for_all(const std::function<bool(const HollowNode&)>& holds) const {
    return std::all_of(fleet_.nodes().begin(), fleet_.nodes().end(),
                       [&](const auto& entry) { return holds(*entry.second); });
  }

  void start() {
    fleet_.start();
    const std::size_t all = settings_.shape.nodes;
    report_.join_seconds = wait_for([&] {
                             return for_all([&](const HollowNode& node) {
                               return node.membership().members().size() == all;
                             });
                           }).value_or(-1);
    report_.configured_seconds =
        report_.join_seconds + wait_for([&] {
                                 return for_all([&](const HollowNode& node) {
                                   return node.config().document()->revision >= Revision(1);
                                 });
                               }).value_or(-1);
    fleet_.run(from_seconds(settings_.warm_up_seconds));
  }

  void measure_steady() {
    std::map<std::size_t, Baseline> baselines;
    for (const auto& [index, node] : fleet_.nodes()) {
      Baseline& baseline = baselines[index];
      baseline.meter = node->meter();
      baseline.traffic = node->traffic();
      for (std::size_t channel = 0; channel < peer::kChannelCount; ++channel) {
        baseline.channels[channel] = node->bytes_sent_on(static_cast<peer::Channel>(channel));
      }
    }
    const std::uint64_t calls = fleet_.key_values().calls;
    const std::uint64_t reads = fleet_.machines().reads;
    const auto rounds = static_cast<std::size_t>(settings_.seconds);
    const std::size_t between = rounds / (settings_.changes + 1) + 1;
    for (std::size_t round = 0; round < rounds; ++round) {
      if (round % between == between - 1) {
        change_configuration();
      }
      fleet_.run(seconds(1));
      sample_ages();
    }
    const auto elapsed = static_cast<double>(rounds);
    report_.key_value_calls_per_second =
        static_cast<double>(fleet_.key_values().calls - calls) / elapsed;
    report_.machine_list_reads_per_second =
        static_cast<double>(fleet_.machines().reads - reads) / elapsed;
    report_costs(baselines, elapsed);
    report_ages();
    report_changes();
  }

  void change_configuration() {
    const std::size_t number = changes_.size();
    fleet::Tenant tenant = fleet_.document().tenants[number % settings_.shape.tenants];
    tenant.weight = static_cast<std::uint32_t>(2 + number);
    fleet::Mutation mutation;
    mutation.id = MutationId("change-" + std::to_string(number));
    mutation.command = fleet::UpdateResource{tenant};
    changes_.push_back({fleet_.now(), Revision(2 + number)});
    const std::size_t node = fleet_.random().below(settings_.shape.nodes);
    fleet_.node(node).mutate(
        mutation, [this](bool accepted) { report_.changes_accepted += accepted ? 1 : 0; });
  }

  void sample_ages() {
    const auto& engines = fleet_.document().engines;
    for (std::size_t i = 0; i < kSampledNodes; ++i) {
      const HollowNode& node = fleet_.node(fleet_.random().below(settings_.shape.nodes));
      for (std::size_t j = 0; j < kSampledEngines; ++j) {
        const fleet::Engine& engine = engines[fleet_.random().below(engines.size())];
        const bool own = engine.zone == node.member().zone && engine.region == node.member().region;
        const auto reading = node.digest().load(engine);
        if (!reading) {
          ++unknown_;
          continue;
        }
        const double age = to_seconds(fleet_.now() - reading->taken);
        (own ? own_ages_ : remote_ages_).push_back(age);
      }
    }
  }

  void report_ages() {
    const double samples = static_cast<double>(own_ages_.size() + remote_ages_.size() + unknown_);
    report_.load_age_median_seconds = quantile(own_ages_, 0.5);
    report_.load_age_p99_seconds = quantile(own_ages_, kNinetyNinth);
    report_.remote_load_age_p99_seconds = quantile(remote_ages_, kNinetyNinth);
    report_.load_unknown_share = static_cast<double>(unknown_) / std::max(samples, 1.0);
  }

  void report_changes() {
    std::vector<double> times;
    for (const auto& [started, revision] : changes_) {
      double worst = 0;
      for (const auto& [index, node] : fleet_.nodes()) {
        const auto since = node->in_force_since(revision);
        if (!since) {
          worst = -1;
          break;
        }
        worst = std::max(worst, to_seconds(*since - started));
      }
      times.push_back(worst);
    }
    report_.configuration = {quantile(times, 0.5), quantile(times, 1)};
  }

  void report_costs(const std::map<std::size_t, Baseline>& baselines, double elapsed) {
    std::vector<double> core, memory, peak, sent, received, out, in, messages;
    std::uint64_t deferred = 0;
    std::uint64_t records = 0;
    for (const auto& [index, node] : fleet_.nodes()) {
      const Baseline& before = baselines.at(index);
      const NodeTraffic traffic = node->traffic();
      const auto rate = [elapsed](std::uint64_t now, std::uint64_t then) {
        return static_cast<double>(now - then) / elapsed;
      };
      core.push_back(to_seconds(node->meter().processor_time - before.meter.processor_time) /
                     elapsed);
      memory.push_back(static_cast<double>(node->meter().allocated_bytes));
      peak.push_back(static_cast<double>(node->meter().peak_bytes));
      sent.push_back(rate(traffic.peers.bytes_sent, before.traffic.peers.bytes_sent));
      received.push_back(rate(traffic.peers.bytes_received, before.traffic.peers.bytes_received));
      messages.push_back(rate(traffic.peers.messages_sent, before.traffic.peers.messages_sent));
      out.push_back(rate(traffic.platform_sent, before.traffic.platform_sent));
      in.push_back(rate(traffic.platform_received, before.traffic.platform_received));
      for (std::size_t channel = 0; channel < peer::kChannelCount; ++channel) {
        const std::uint64_t now = node->bytes_sent_on(static_cast<peer::Channel>(channel));
        report_.mean_bytes_by_channel[channel] +=
            rate(now, before.channels[channel]) / static_cast<double>(baselines.size());
      }
      const digest::DigestStatistics digest = node->digest().statistics();
      deferred += digest.budget.records_deferred;
      records += digest.budget.records_sent;
      report_.coarse = report_.coarse || digest.coarse;
      report_.cycle_seconds = static_cast<double>(digest.cycle_milliseconds) / 1000;
    }
    report_.core_fraction = spread_of(core);
    report_.memory_bytes = spread_of(memory);
    report_.peak_memory_bytes = spread_of(peak);
    report_.bytes_sent_per_second = spread_of(sent);
    report_.bytes_received_per_second = spread_of(received);
    report_.messages_sent_per_second = spread_of(messages);
    report_.platform_sent_per_second = spread_of(out);
    report_.platform_received_per_second = spread_of(in);
    report_.records_deferred_share =
        static_cast<double>(deferred) / static_cast<double>(std::max<std::uint64_t>(records, 1));
  }

  std::vector<std::size_t> zone_of_first_node() {
    const membership::Member first = node_member(settings_.shape, 0);
    std::vector<std::size_t> nodes;
    for (const auto& [index, node] : fleet_.nodes()) {
      if (node->member().zone == first.zone && node->member().region == first.region) {
        nodes.push_back(index);
      }
    }
    return nodes;
  }

  std::optional<double> lose_nodes(const std::vector<std::size_t>& lost) {
    std::set<NodeId> names;
    for (const std::size_t index : lost) {
      names.insert(node_member(settings_.shape, index).node);
      fleet_.kill(index);
    }
    return wait_for([&] {
      return for_all([&](const HollowNode& node) {
        const auto members = node.membership().members();
        return std::none_of(members.begin(), members.end(),
                            [&](const auto& member) { return names.contains(member.node); });
      });
    });
  }

  std::optional<double> let_server_leave() {
    const std::string server = fleet_.document().engines.front().server.value();
    fleet_.machines().machines[server].state = external::MachineState::kLeaving;
    return wait_for([&] {
      return for_all([&](const HollowNode& node) { return node.digest().leaving(server); });
    });
  }

  struct Change {
    MonotonicTime started;
    Revision revision;
  };

  CapacitySettings settings_;
  HollowFleet fleet_;
  MonotonicTime wall_started_;
  CapacityReport report_;
  std::vector<Change> changes_;
  std::vector<double> own_ages_;
  std::vector<double> remote_ages_;
  std::uint64_t unknown_ = 0;
};

}  // namespace

CapacityReport run_capacity(const CapacitySettings& settings) {
  return Measurement(settings).run();
}

}  // namespace ochrespring::capacity
