#include "report/svg_chart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace ochrespring::report {
namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 260;
constexpr double kLeft = 56;
constexpr double kRight = 150;  ///< Room for the legend.
constexpr double kTop = 28;
constexpr double kBottom = 40;
constexpr int kTicks = 5;
constexpr std::array<const char*, 6> kColours{"#c0502e", "#2f6f9f", "#5b8c3a",
                                              "#8a5aa5", "#b08a1e", "#555555"};

/// Extent of the data, never empty.
struct Range {
  double low = 0;
  double high = 1;
};

struct Scale {
  Range x;
  Range y;

  double place_x(double value) const {
    return kLeft + (value - x.low) / (x.high - x.low) * (kWidth - kLeft - kRight);
  }
  double place_y(double value) const {
    return kHeight - kBottom - (value - y.low) / (y.high - y.low) * (kHeight - kTop - kBottom);
  }
};

std::string number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", value);
  return text.data();
}

std::string place(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", value);
  return text.data();
}

Scale find_scale(const Chart& chart) {
  Scale scale;
  bool first = true;
  for (const Series& series : chart.series) {
    for (const auto& [x, y] : series.points) {
      scale.x.low = first ? x : std::min(scale.x.low, x);
      scale.x.high = first ? x : std::max(scale.x.high, x);
      scale.y.high = std::max(first ? 0.0 : scale.y.high, y);
      first = false;
    }
  }
  scale.x.high = std::max(scale.x.high, scale.x.low + 1e-9);
  scale.y.high = scale.y.high <= 0 ? 1 : scale.y.high * 1.05;
  return scale;
}

std::string text_at(double x, double y, const std::string& anchor, const std::string& text) {
  return "<text x=\"" + place(x) + "\" y=\"" + place(y) + "\" text-anchor=\"" + anchor + "\">" +
         escape_markup(text) + "</text>\n";
}

std::string render_axes(const Chart& chart, const Scale& scale) {
  std::string svg;
  const std::string left = place(kLeft);
  const std::string right = place(kWidth - kRight);
  for (int i = 0; i <= kTicks; ++i) {
    const double share = static_cast<double>(i) / kTicks;
    const double y = scale.y.low + share * (scale.y.high - scale.y.low);
    const double x = scale.x.low + share * (scale.x.high - scale.x.low);
    const std::string line = place(scale.place_y(y));
    svg += "<line x1=\"" + left + "\" x2=\"" + right + "\" y1=\"" + line + "\" y2=\"" + line +
           "\" stroke=\"#dddddd\"/>\n";
    svg += text_at(kLeft - 6, scale.place_y(y) + 4, "end", number(y));
    svg += text_at(scale.place_x(x), kHeight - kBottom + 16, "middle", number(x));
  }
  svg += text_at(kLeft, 16, "start", chart.title + " (" + chart.y_label + ")");
  svg += text_at((kLeft + kWidth - kRight) / 2, kHeight - 6, "middle", chart.x_label);
  return svg;
}

std::string render_series(const Series& series, std::size_t index, const Scale& scale) {
  const std::string colour = kColours.at(index % kColours.size());
  std::string points;
  for (const auto& [x, y] : series.points) {
    points += place(scale.place_x(x)) + "," + place(scale.place_y(y)) + " ";
  }
  const double legend = kTop + 16 * static_cast<double>(index);
  return "<polyline fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"1.6\" points=\"" +
         points + "\"/>\n<rect x=\"" + place(kWidth - kRight + 10) + "\" y=\"" + place(legend) +
         "\" width=\"10\" height=\"10\" fill=\"" + colour + "\"/>\n" +
         text_at(kWidth - kRight + 26, legend + 9, "start", series.name);
}

}  // namespace

std::string escape_markup(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string render_svg(const Chart& chart) {
  const Scale scale = find_scale(chart);
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " + place(kWidth) +
                    " " + place(kHeight) + "\" width=\"" + place(kWidth) +
                    "\" font-family=\"sans-serif\" font-size=\"11\">\n";
  svg += render_axes(chart, scale);
  for (std::size_t i = 0; i < chart.series.size(); ++i) {
    svg += render_series(chart.series[i], i, scale);
  }
  return svg + "</svg>\n";
}

}  // namespace ochrespring::report
