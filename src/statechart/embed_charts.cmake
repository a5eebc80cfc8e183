# Writes OUTPUT, a C++ source with the chart files FILES (separated by ';') as raw string literals.
set(entries "")
foreach(file IN LISTS FILES)
  get_filename_component(name ${file} NAME_WE)
  file(READ ${file} content)
  string(APPEND entries "    EmbeddedChart{\"${name}\", R\"scxml(${content})scxml\"},\n")
endforeach()
file(WRITE ${OUTPUT} "// Generated at build time from statecharts/*.scxml.
#include <array>

#include \"statechart/chart_library.h\"

namespace ochrespring::statechart {

std::span<const EmbeddedChart> embedded_charts() {
  static const std::array kCharts{
${entries}  };
  return kCharts;
}

}  // namespace ochrespring::statechart
")
