#include "report/report_page.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "report/svg_chart.h"

namespace ochrespring::report {
namespace {

std::string fixed(double value, int digits) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.*f", digits, value);
  return text.data();
}

std::string cell(const std::string& text) {
  return "<td>" + escape_markup(text) + "</td>";
}

bool same_group(const RunGroup& group, const RunRecord& run) {
  return group.workload == run.workload && group.faults == run.faults &&
         group.policy == run.policy && group.settings == run.settings;
}

void add(RunGroup& group, const RunRecord& run) {
  // Running means.
  const double weight = 1.0 / static_cast<double>(++group.runs);
  group.goodput += weight * (run.goodput - group.goodput);
  group.lowest_goodput = std::min(group.lowest_goodput, run.goodput);
  group.highest_goodput = std::max(group.highest_goodput, run.goodput);
  group.role_changes += weight * (run.role_changes - group.role_changes);
  group.first_token_p95 += weight * (run.first_token_p95 - group.first_token_p95);
  group.between_tokens_p95 += weight * (run.between_tokens_p95 - group.between_tokens_p95);
  group.not_run += weight * (run.not_run - group.not_run);
  group.cut += weight * (run.cut - group.cut);
}

std::string name_of(const RunGroup& group) {
  return group.settings.empty() ? group.policy : group.policy + " " + group.settings;
}

std::string render_table(const std::vector<RunGroup>& groups) {
  std::string html =
      "<table><tr><th>workload</th><th>faults</th><th>policy</th><th>seeds</th>"
      "<th>goodput</th><th>lowest</th><th>highest</th><th>role changes</th>"
      "<th>TTFT p95 s</th><th>ITL p95 s</th><th>not run</th><th>cut</th></tr>\n";
  for (const RunGroup& group : groups) {
    html += "<tr>" + cell(group.workload) + cell(group.faults) + cell(name_of(group)) +
            cell(std::to_string(group.runs)) + cell(fixed(group.goodput, 4)) +
            cell(fixed(group.lowest_goodput, 4)) + cell(fixed(group.highest_goodput, 4)) +
            cell(fixed(group.role_changes, 1)) + cell(fixed(group.first_token_p95, 3)) +
            cell(fixed(group.between_tokens_p95, 4)) + cell(fixed(group.not_run, 1)) +
            cell(fixed(group.cut, 1)) + "</tr>\n";
  }
  return html + "</table>\n";
}

Series goodput_over_time(const RunGroup& group) {
  Series series{name_of(group), {}};
  for (const TimelinePoint& point : group.first->timeline) {
    if (point.offered > 0) {
      series.points.emplace_back(point.at, point.good / point.offered);
    }
  }
  return series;
}

Series quantiles(const std::string& name, const std::vector<double>& values) {
  Series series{name, {}};
  for (std::size_t i = 0; i < values.size(); ++i) {
    const double share = static_cast<double>(i + 1) / static_cast<double>(values.size());
    series.points.emplace_back(share, values[i]);
  }
  return series;
}

Chart roles_chart(const RunGroup& group) {
  Chart chart{"Roles, " + name_of(group), "seconds", "engines", {}};
  Series prefill{"prefill", {}};
  Series decode{"decode", {}};
  Series mixed{"mixed", {}};
  for (const TimelinePoint& point : group.first->timeline) {
    prefill.points.emplace_back(point.at, point.prefill_engines);
    decode.points.emplace_back(point.at, point.decode_engines);
    mixed.points.emplace_back(point.at, point.mixed_engines);
  }
  chart.series = {prefill, decode, mixed};
  return chart;
}

std::string render_workload(const std::vector<RunGroup>& groups, const RunGroup& head) {
  Chart goodput{"Goodput over time", "seconds", "share of offered", {}};
  Chart first{"Time to first token", "share of requests", "seconds", {}};
  Chart between{"Time between tokens", "share of gaps", "seconds", {}};
  std::string roles;
  for (const RunGroup& group : groups) {
    if (group.workload != head.workload || group.faults != head.faults ||
        group.first->timeline.empty()) {
      continue;
    }
    goodput.series.push_back(goodput_over_time(group));
    first.series.push_back(quantiles(name_of(group), group.first->first_token_quantiles));
    between.series.push_back(quantiles(name_of(group), group.first->between_token_quantiles));
    roles += render_svg(roles_chart(group));
  }
  if (goodput.series.empty()) {
    return {};
  }
  return "<h2>" + escape_markup(head.workload + ", faults " + head.faults) + "</h2>\n" +
         render_svg(goodput) + render_svg(first) + render_svg(between) + roles;
}

}  // namespace

std::vector<RunGroup> group_runs(const std::vector<RunRecord>& runs) {
  std::vector<RunGroup> groups;
  for (const RunRecord& run : runs) {
    auto found = std::find_if(groups.begin(), groups.end(),
                              [&](const RunGroup& group) { return same_group(group, run); });
    if (found == groups.end()) {
      RunGroup group;
      group.workload = run.workload;
      group.faults = run.faults;
      group.policy = run.policy;
      group.settings = run.settings;
      group.first = &run;
      groups.push_back(group);
      found = std::prev(groups.end());
    }
    add(*found, run);
  }
  return groups;
}

std::string render_page(const std::vector<RunRecord>& runs, const std::string& title) {
  const auto groups = group_runs(runs);
  std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" +
                     escape_markup(title) +
                     "</title><style>body{font-family:sans-serif;margin:2em;max-width:80em}"
                     "table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #cccccc;"
                     "padding:2px 8px;text-align:right}td:nth-child(-n+3){text-align:left}"
                     "svg{display:block;margin:1em 0}</style></head><body>\n<h1>" +
                     escape_markup(title) + "</h1>\n" + render_table(groups);
  std::vector<const RunGroup*> drawn;
  for (const RunGroup& group : groups) {
    const bool known = std::any_of(drawn.begin(), drawn.end(), [&](const RunGroup* other) {
      return other->workload == group.workload && other->faults == group.faults;
    });
    if (!known) {
      drawn.push_back(&group);
      html += render_workload(groups, group);
    }
  }
  return html + "</body></html>\n";
}

}  // namespace ochrespring::report
