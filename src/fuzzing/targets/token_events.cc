// Engines' event streams as the proxy reads them: whole, and cut in two at a place that the first
// byte picks.
#include "proxy/token_events.h"

#include <string>
#include <vector>

#include "fuzzing/fuzz_target.h"

namespace {

using namespace ochrespring;

struct Reading {
  std::vector<std::string> events;
  bool malformed = false;

  bool operator==(const Reading&) const = default;
};

void read_piece(proxy::TokenEventReader& reader, std::string_view piece, Reading& reading) {
  if (reading.malformed) {
    return;
  }
  const auto verdict = reader.read(piece, [&reading](const proxy::TokenEvent& event) {
    reading.events.emplace_back(event.text);
    return true;
  });
  reading.malformed = verdict == proxy::ParseVerdict::kMalformed;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes = fuzzing::text_of(data, size).substr(1);
  proxy::TokenEventReader whole_reader;
  Reading whole;
  read_piece(whole_reader, bytes, whole);
  proxy::TokenEventReader cut_reader;
  Reading cut;
  const std::size_t middle = bytes.size() * data[0] / 256;
  read_piece(cut_reader, bytes.substr(0, middle), cut);
  read_piece(cut_reader, bytes.substr(middle), cut);
  fuzzing::require(whole == cut);
  return 0;
}
