// The project's charts: built into the programs, or read from files beside them.
#pragma once

#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "statechart/chart.h"

namespace ochrespring::statechart {

/// One chart file that was built into the program.
struct EmbeddedChart {
  std::string_view name;
  std::string_view xml;
};

/// All charts built in, from the files in statecharts/ (generated at build time).
std::span<const EmbeddedChart> embedded_charts();

/// All checked charts of a process. Immutable; the components keep references to its charts.
struct ChartLibrary {
  Chart lease_holder;
  Chart drain;
  Chart engine_life;
  Chart request_attempt;
  Chart duty_lease;

  /// Charts from `directory`, or the built-in ones. Every fault of every chart is reported.
  static Result<ChartLibrary, StatechartError> load(
      const std::optional<std::filesystem::path>& directory);

  /// The built-in charts; the build's tests check them, so failure ends the program.
  static const ChartLibrary& built_in();
};

/// Vocabularies of all charts.
std::span<const Vocabulary* const> vocabularies();

/// Reads and parses one chart from `directory`, or the built-in one, without checking it.
Result<Document, StatechartError> read_chart(std::string_view name,
                                             const std::optional<std::filesystem::path>& directory);

}  // namespace ochrespring::statechart
