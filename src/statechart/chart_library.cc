#include "statechart/chart_library.h"

#include <array>
#include <fstream>
#include <sstream>
#include <utility>

#include "statechart/charts/drain.h"
#include "statechart/charts/duty_lease.h"
#include "statechart/charts/engine_life.h"
#include "statechart/charts/lease_holder.h"
#include "statechart/charts/request_attempt.h"
#include "statechart/scxml_reader.h"

namespace ochrespring::statechart {

namespace {

constexpr std::string_view kSuffix = ".scxml";

Result<std::string, StatechartError> read_file(const std::filesystem::path& path) {
  std::ifstream input(path, std::ios::binary);
  std::ostringstream content;
  content << input.rdbuf();
  if (!input || !content) {
    return fail(StatechartErrc::kUnreadable, path.string() + ": cannot be read");
  }
  return content.str();
}

Result<Chart, StatechartError> load_chart(const Vocabulary& vocabulary,
                                          const std::optional<std::filesystem::path>& directory) {
  BOOST_OUTCOME_TRY(document, read_chart(vocabulary.chart, directory));
  return Chart::compile(document, vocabulary);
}

}  // namespace

std::span<const Vocabulary* const> vocabularies() {
  static const std::array<const Vocabulary*, 5> all{
      &lease_holder_vocabulary(), &drain_vocabulary(), &engine_life_vocabulary(),
      &request_attempt_vocabulary(), &duty_lease_vocabulary()};
  return all;
}

Result<Document, StatechartError> read_chart(
    std::string_view name, const std::optional<std::filesystem::path>& directory) {
  const std::string file = std::string(name) + std::string(kSuffix);
  if (directory) {
    const std::filesystem::path path = *directory / file;
    BOOST_OUTCOME_TRY(xml, read_file(path));
    return read_scxml(xml, path.string());
  }
  for (const EmbeddedChart& chart : embedded_charts()) {
    if (chart.name == name) {
      return read_scxml(std::string(chart.xml), file);
    }
  }
  return fail(StatechartErrc::kUnreadable, file + ": not built in");
}

Result<ChartLibrary, StatechartError> ChartLibrary::load(
    const std::optional<std::filesystem::path>& directory) {
  auto lease_holder = load_chart(lease_holder_vocabulary(), directory);
  auto drain = load_chart(drain_vocabulary(), directory);
  auto engine_life = load_chart(engine_life_vocabulary(), directory);
  auto request_attempt = load_chart(request_attempt_vocabulary(), directory);
  auto duty_lease = load_chart(duty_lease_vocabulary(), directory);

  std::optional<StatechartError> error;
  for (const auto* chart : {&lease_holder, &drain, &engine_life, &request_attempt, &duty_lease}) {
    if (!chart->has_error()) {
      continue;
    }
    if (error) {
      error->message += "\n" + chart->error().message;
    } else {
      error = chart->error();
    }
  }
  if (error) {
    return outcome::failure(*error);
  }
  return ChartLibrary{std::move(lease_holder).value(), std::move(drain).value(),
                      std::move(engine_life).value(), std::move(request_attempt).value(),
                      std::move(duty_lease).value()};
}

const ChartLibrary& ChartLibrary::built_in() {
  static const ChartLibrary library = load(std::nullopt).value();
  return library;
}

}  // namespace ochrespring::statechart
