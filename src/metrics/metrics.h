// Metrics in Prometheus text format. Components keep plain counters, which collectors read when
// /metrics is requested, so that counting costs only an increment.
#pragma once

#include <prometheus/metric_family.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ochrespring::metrics {

/// Label of one sample.
struct Label {
  std::string name;
  std::string value;
};

/// Name and help text of a metric. Names contain the unit, such as `_bytes` or `_seconds`.
struct MetricName {
  std::string name;  ///< Without the `ochrespring_` prefix.
  std::string help;
};

/// Collects the samples of one scrape.
class SampleSink {
 public:
  /// Adds a monotonically increasing value; `_total` is appended to the name.
  void counter(const MetricName& metric, double value, std::vector<Label> labels = {});
  /// Adds a value that may increase and decrease.
  void gauge(const MetricName& metric, double value, std::vector<Label> labels = {});
  /// Removes and returns all collected families, ordered by name.
  std::vector<prometheus::MetricFamily> take();

 private:
  prometheus::ClientMetric& add(const std::string& name, const std::string& help,
                                prometheus::MetricType type, std::vector<Label> labels);

  std::map<std::string, prometheus::MetricFamily> families_;
};

/// Reads the statistics of one component into the sink.
using Collector = std::function<void(SampleSink& sink)>;

/// The collectors of a process. Not thread-safe: used on the control loop.
class MetricsRegistry {
 public:
  void add(Collector collector) { collectors_.push_back(std::move(collector)); }
  /// Body of the response to GET /metrics.
  std::string render() const;

 private:
  std::vector<Collector> collectors_;
};

/// Content type of render().
inline constexpr std::string_view kContentType = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace ochrespring::metrics
