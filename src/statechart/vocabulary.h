// What a chart may name. The component that runs the chart declares its states, events, guards and
// actions as enumerations; a name's position in these lists is its enumerator's value.
#pragma once

#include <string_view>
#include <vector>

namespace ochrespring::statechart {

struct Vocabulary {
  std::string_view chart;                ///< Name of the chart and of its file without ".scxml".
  std::vector<std::string_view> states;  ///< States the component asks about; must exist.
  std::vector<std::string_view> events;
  std::vector<std::string_view> guards;
  std::vector<std::string_view> actions;
};

}  // namespace ochrespring::statechart
