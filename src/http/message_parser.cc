#include "http/message_parser.h"

#include <sys/types.h>

#include <algorithm>
#include <array>
#include <cctype>

extern "C" {
/// Layout of picohttpparser's struct phr_header.
struct PhrHeader {
  const char* name;
  std::size_t name_len;
  const char* value;
  std::size_t value_len;
};
int phr_parse_response(const char* bytes, std::size_t size, int* minor_version, int* status,
                       const char** message, std::size_t* message_size, PhrHeader* headers,
                       std::size_t* header_count, std::size_t last_size);
ssize_t phr_decode_chunked(void* decoder, char* bytes, std::size_t* size);
}

namespace ochrespring::http {

namespace {

constexpr std::size_t kMaxHeaders = 100;
constexpr int kIncomplete = -2;

std::string lower_case(std::string_view text) {
  std::string lowered(text);
  std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return lowered;
}

/// Adds a header, or continues the value of the last one: the parser returns a folded line as a
/// header without a name.
void append_line(const PhrHeader& line, std::vector<Header>& headers) {
  const std::string_view value(line.value, line.value_len);
  if (line.name_len != 0 || headers.empty()) {
    headers.push_back({lower_case({line.name, line.name_len}), std::string(value)});
    return;
  }
  std::string& folded = headers.back().value;
  const std::size_t begin = value.find_first_not_of(" \t");
  if (begin != std::string_view::npos) {
    folded.append(folded.empty() ? "" : " ").append(value.substr(begin));
  }
}

}  // namespace

ParseOutcome parse_head(std::string_view bytes, ParsedHead& parsed) {
  std::array<PhrHeader, kMaxHeaders> headers{};
  std::size_t count = headers.size();
  int status = 0;
  const char* message = nullptr;
  std::size_t message_size = 0;
  const int length = phr_parse_response(bytes.data(), bytes.size(), &parsed.minor_version, &status,
                                        &message, &message_size, headers.data(), &count, 0);
  if (length == kIncomplete) {
    return ParseOutcome::kIncomplete;
  }
  if (length < 0 || status < 100 || status > 999) {
    return ParseOutcome::kMalformed;
  }
  parsed.length = static_cast<std::size_t>(length);
  parsed.head.status = static_cast<std::uint16_t>(status);
  parsed.head.headers.clear();
  parsed.head.headers.reserve(count);
  for (std::size_t i = 0; i != count; ++i) {
    append_line(headers.at(i), parsed.head.headers);
  }
  return ParseOutcome::kComplete;
}

ChunkStep ChunkDecoder::decode(char* bytes, std::size_t size) {
  ChunkStep step;
  step.decoded = size;
  const ssize_t left = phr_decode_chunked(&state_, bytes, &step.decoded);
  if (left == -1) {
    step.outcome = ParseOutcome::kMalformed;
  } else if (left >= 0) {
    step.outcome = ParseOutcome::kComplete;
    step.trailing = static_cast<std::size_t>(left);
  }
  return step;
}

}  // namespace ochrespring::http
