// Reads workload files. Every field is checked: unknown keys and values out of range are errors.
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <stdexcept>

#include "workload/workload.h"

namespace ochrespring::workload {
namespace {

/// Raised inside the reader, turned into a WorkloadError at its boundary.
class FieldError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A YAML map with the path to it, for messages.
class Fields {
 public:
  Fields(const YAML::Node& node, std::string path, std::initializer_list<const char*> allowed)
      : node_(node), path_(std::move(path)) {
    if (!node.IsMap()) {
      throw FieldError(path_ + ": expected a map");
    }
    for (const auto& entry : node) {
      const auto key = entry.first.as<std::string>();
      if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
        throw FieldError(path_ + "." + key + ": unknown field");
      }
    }
  }

  bool has(const char* key) const { return node_[key].IsDefined(); }
  YAML::Node child(const char* key) const { return node_[key]; }
  std::string path(const char* key) const { return path_ + "." + key; }

  std::string text(const char* key) const {
    if (!has(key) || !node_[key].IsScalar() || node_[key].as<std::string>().empty()) {
      throw FieldError(path(key) + ": expected a text");
    }
    return node_[key].as<std::string>();
  }

  std::string text_or(const char* key, const std::string& fallback) const {
    return has(key) ? text(key) : fallback;
  }

  double number(const char* key, double lowest, double highest) const {
    double value = 0;
    if (!has(key) || !YAML::convert<double>::decode(node_[key], value) || value < lowest ||
        value > highest) {
      std::ostringstream message;
      message << path(key) << ": expected a number from " << lowest << " to " << highest;
      throw FieldError(message.str());
    }
    return value;
  }

  double number_or(const char* key, double fallback, double lowest, double highest) const {
    return has(key) ? number(key, lowest, highest) : fallback;
  }

  bool flag_or(const char* key, bool fallback) const {
    bool value = fallback;
    if (has(key) && !YAML::convert<bool>::decode(node_[key], value)) {
      throw FieldError(path(key) + ": expected true or false");
    }
    return value;
  }

 private:
  YAML::Node node_;
  std::string path_;
};

constexpr double kDay = 86'400;
constexpr double kMostTokens = 1'000'000;
constexpr double kMostRate = 100'000;

TokenDistribution read_tokens(const YAML::Node& node, const std::string& path) {
  const Fields fields(node, path, {"median", "sigma", "minimum", "maximum"});
  TokenDistribution tokens;
  tokens.median = fields.number("median", 1, kMostTokens);
  tokens.sigma = fields.number_or("sigma", 0, 0, 3);
  tokens.minimum = static_cast<std::uint32_t>(fields.number_or("minimum", 1, 1, kMostTokens));
  tokens.maximum = static_cast<std::uint32_t>(fields.number_or("maximum", 32'000, 1, kMostTokens));
  if (tokens.minimum > tokens.maximum) {
    throw FieldError(path + ".minimum: must not exceed maximum");
  }
  return tokens;
}

RateCurve read_rate(const YAML::Node& node, const std::string& path) {
  const Fields fields(node, path, {"points", "ramp", "bursts", "day"});
  RateCurve curve;
  curve.ramp = fields.flag_or("ramp", false);
  const YAML::Node points = fields.child("points");
  if (!points.IsDefined() || !points.IsSequence() || points.size() == 0) {
    throw FieldError(path + ".points: expected a list of {at, per_second}");
  }
  for (std::size_t i = 0; i < points.size(); ++i) {
    const std::string at = path + ".points[" + std::to_string(i) + "]";
    const Fields point(points[i], at, {"at", "per_second"});
    curve.points.push_back(
        {from_seconds(point.number("at", 0, kDay)), point.number("per_second", 0, kMostRate)});
    if (i > 0 && curve.points[i].at <= curve.points[i - 1].at) {
      throw FieldError(at + ".at: must grow from point to point");
    }
  }
  if (fields.has("bursts")) {
    const Fields bursts(fields.child("bursts"), path + ".bursts", {"every", "length", "factor"});
    curve.bursts.every = from_seconds(bursts.number("every", 1, kDay));
    curve.bursts.length = from_seconds(bursts.number("length", 0.1, kDay));
    curve.bursts.factor = bursts.number("factor", 0, 100);
  }
  if (fields.has("day")) {
    const Fields day(fields.child("day"), path + ".day", {"period", "amplitude", "phase"});
    curve.day.period = from_seconds(day.number("period", 1, kDay));
    curve.day.amplitude = day.number("amplitude", 0, 1);
    curve.day.phase = from_seconds(day.number_or("phase", 0, 0, kDay));
  }
  return curve;
}

RequestClass read_class(const YAML::Node& node, const std::string& path) {
  const Fields fields(node, path,
                      {"name", "service", "model", "priority", "prompt", "output",
                       "shared_prefix_tokens", "session", "rate"});
  RequestClass shape;
  shape.name = fields.text("name");
  shape.service = ServiceName(fields.text("service"));
  shape.model = ModelName(fields.text_or("model", ""));
  shape.priority = static_cast<std::uint8_t>(fields.number_or("priority", 1, 0, 2));
  if (!shape.model.empty()) {
    shape.prompt = read_tokens(fields.child("prompt"), fields.path("prompt"));
    shape.output = read_tokens(fields.child("output"), fields.path("output"));
  }
  shape.shared_prefix_tokens =
      static_cast<std::uint32_t>(fields.number_or("shared_prefix_tokens", 0, 0, kMostTokens));
  if (fields.has("session")) {
    const Fields session(fields.child("session"), fields.path("session"),
                         {"mean_turns", "mean_think", "new_tokens"});
    shape.session.mean_turns = session.number("mean_turns", 1, 64);
    shape.session.mean_think = from_seconds(session.number("mean_think", 0.1, kDay));
    shape.session.new_tokens = read_tokens(session.child("new_tokens"), session.path("new_tokens"));
  }
  shape.rate = read_rate(fields.child("rate"), fields.path("rate"));
  return shape;
}

TenantShare read_tenant(const YAML::Node& node, const std::string& path) {
  const Fields fields(node, path, {"name", "weight", "share", "flood"});
  TenantShare tenant;
  tenant.name = TenantName(fields.text("name"));
  tenant.weight = static_cast<std::uint32_t>(fields.number_or("weight", 1, 1, 1'000));
  tenant.share = fields.number_or("share", 1, 0.001, 1'000);
  if (fields.has("flood")) {
    const Fields flood(fields.child("flood"), fields.path("flood"), {"from", "until", "factor"});
    tenant.flood_from = from_seconds(flood.number("from", 0, kDay));
    tenant.flood_until = from_seconds(flood.number("until", 0, kDay));
    tenant.flood_factor = flood.number("factor", 1, 1'000);
  }
  return tenant;
}

Workload read_workload(const YAML::Node& node) {
  const Fields fields(
      node, "workload",
      {"name", "deployment", "description", "duration", "lasting_shifts", "classes", "tenants"});
  Workload workload;
  workload.name = fields.text("name");
  workload.deployment = fields.text("deployment");
  if (workload.deployment != "gateway" && workload.deployment != "auction") {
    throw FieldError("workload.deployment: expected gateway or auction");
  }
  workload.description = fields.text("description");
  workload.duration = from_seconds(fields.number("duration", 1, kDay));
  workload.lasting_shifts = static_cast<std::uint32_t>(fields.number("lasting_shifts", 0, 1'000));
  const YAML::Node classes = fields.child("classes");
  if (!classes.IsDefined() || !classes.IsSequence() || classes.size() == 0) {
    throw FieldError("workload.classes: expected a list with at least one class");
  }
  for (std::size_t i = 0; i < classes.size(); ++i) {
    workload.classes.push_back(
        read_class(classes[i], "workload.classes[" + std::to_string(i) + "]"));
  }
  const YAML::Node tenants = fields.child("tenants");
  if (!tenants.IsDefined() || !tenants.IsSequence() || tenants.size() == 0) {
    throw FieldError("workload.tenants: expected a list with at least one tenant");
  }
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    workload.tenants.push_back(
        read_tenant(tenants[i], "workload.tenants[" + std::to_string(i) + "]"));
  }
  return workload;
}

}  // namespace

Result<Workload, WorkloadError> parse_workload(const std::string& text) {
  try {
    return read_workload(YAML::Load(text));
  } catch (const FieldError& error) {
    return fail(WorkloadErrc::kInvalid, error.what());
  } catch (const YAML::Exception& error) {
    return fail(WorkloadErrc::kMalformed, error.what());
  }
}

Result<Workload, WorkloadError> load_workload(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return fail(WorkloadErrc::kUnreadable, path + ": cannot be opened");
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto workload = parse_workload(text.str());
  if (!workload) {
    return fail(workload.error().code, path + ": " + workload.error().message);
  }
  return workload;
}

}  // namespace ochrespring::workload
