// `statechart check` and `statechart render`.
#include <algorithm>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>

#include "ctl/command.h"
#include "statechart/chart_library.h"
#include "statechart/checker.h"
#include "statechart/render.h"
#include "statechart/scxml_reader.h"

namespace ochrespring::ctl {

namespace {

struct ChartOptions {
  std::string file;
  std::string format = "text";
};

/// The chart in the file; on failure reports it.
std::optional<statechart::Document> read_chart(Context& context, const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  const std::string xml{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream || stream.bad()) {
    context.report({ExitCode::kInvalid, path + ": cannot be read", {}});
    return std::nullopt;
  }
  auto document = statechart::read_scxml(xml, path);
  if (document.has_error()) {
    context.report({ExitCode::kInvalid, document.error().message, {}});
    return std::nullopt;
  }
  return std::move(document).value();
}

void run_check(Context& context, const ChartOptions& options) {
  const auto document = read_chart(context, options.file);
  if (!document) {
    return;
  }
  const auto known = statechart::vocabularies();
  const auto vocabulary = std::find_if(known.begin(), known.end(), [&](const auto* candidate) {
    return candidate->chart == document->name;
  });
  if (vocabulary == known.end()) {
    return context.report(
        {ExitCode::kInvalid,
         options.file + ": no program runs a chart named '" + document->name + "'",
         {}});
  }
  const auto findings = statechart::check(*document, **vocabulary);
  for (const statechart::Finding& finding : findings) {
    context.err << finding.message << '\n';
  }
  if (!findings.empty()) {
    context.exit_code = ExitCode::kDifferent;
    return;
  }
  context.out << options.file << ": " << document->states.size() << " states, no fault\n";
}

void run_render(Context& context, const ChartOptions& options) {
  if (const auto document = read_chart(context, options.file)) {
    context.out << (options.format == "dot" ? statechart::render_dot(*document)
                                            : statechart::render_text(*document));
  }
}

}  // namespace

void register_statechart_command(CLI::App& app, Context& context) {
  CLI::App* charts = app.add_subcommand("statechart", "Check and render state chart files");
  charts->require_subcommand(1);
  auto options = std::make_shared<ChartOptions>();
  CLI::App* check = charts->add_subcommand("check", "Report every fault of a chart");
  check->add_option("file", options->file, "SCXML file")->required();
  check->callback([&context, options] { run_check(context, *options); });
  CLI::App* render = charts->add_subcommand("render", "Draw a chart");
  render->add_option("file", options->file, "SCXML file")->required();
  render->add_option("--format", options->format, "text, or dot for Graphviz")
      ->check(CLI::IsMember({"text", "dot"}));
  render->callback([&context, options] { run_render(context, *options); });
}

}  // namespace ochrespring::ctl
