// Line charts as inline SVG, for pages that need nothing but themselves.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace ochrespring::report {

/// One line of a chart.
struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

struct Chart {
  std::string title;
  std::string x_label;
  std::string y_label;
  std::vector<Series> series;
};

/// The chart as one `<svg>` element; texts are escaped.
std::string render_svg(const Chart& chart);

/// Replaces what HTML and SVG give a meaning to.
std::string escape_markup(const std::string& text);

}  // namespace ochrespring::report
