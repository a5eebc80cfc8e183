// State chart files.
#include <string>

#include "fuzzing/fuzz_target.h"
#include "statechart/scxml_reader.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string xml(ochrespring::fuzzing::text_of(data, size));
  const auto chart = ochrespring::statechart::read_scxml(xml, "input");
  if (chart.has_error()) {
    ochrespring::fuzzing::require(!chart.error().message.empty());
  }
  return 0;
}
