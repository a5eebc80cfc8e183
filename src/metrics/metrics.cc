#include "metrics/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

namespace ochrespring::metrics {

namespace {
constexpr const char* kPrefix = "ochrespring_";
constexpr const char* kCounterSuffix = "_total";
}  // namespace

prometheus::ClientMetric& SampleSink::add(const std::string& name, const std::string& help,
                                          prometheus::MetricType type, std::vector<Label> labels) {
  prometheus::MetricFamily& family = families_[name];
  family.name = name;
  family.help = help;
  family.type = type;
  prometheus::ClientMetric& sample = family.metric.emplace_back();
  for (Label& label : labels) {
    sample.label.push_back({std::move(label.name), std::move(label.value)});
  }
  return sample;
}

void SampleSink::counter(const MetricName& metric, double value, std::vector<Label> labels) {
  add(kPrefix + metric.name + kCounterSuffix, metric.help, prometheus::MetricType::Counter,
      std::move(labels))
      .counter.value = value;
}

void SampleSink::gauge(const MetricName& metric, double value, std::vector<Label> labels) {
  add(kPrefix + metric.name, metric.help, prometheus::MetricType::Gauge, std::move(labels))
      .gauge.value = value;
}

std::vector<prometheus::MetricFamily> SampleSink::take() {
  std::vector<prometheus::MetricFamily> families;
  for (auto& [name, family] : families_) {
    families.push_back(std::move(family));
  }
  families_.clear();
  return families;
}

std::string MetricsRegistry::render() const {
  SampleSink sink;
  for (const Collector& collector : collectors_) {
    collector(sink);
  }
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, sink.take());
  return text.str();
}

}  // namespace ochrespring::metrics
