// Operators' fleet files.
#include <string>

#include "fleet/file_reader.h"
#include "fuzzing/fuzz_target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(ochrespring::fuzzing::text_of(data, size));
  const auto file = ochrespring::fleet::read_fleet_text(text);
  if (file.has_error()) {
    ochrespring::fuzzing::require(!file.error().message.empty());
  }
  return 0;
}
