#include "standin/model/token_text.h"

#include "base/hash.h"

namespace ochrespring::standin {

namespace {
constexpr std::uint64_t kLetters = 26;
}  // namespace

std::uint64_t prompt_hash(std::string_view prompt) {
  return stable_hash(prompt);
}

std::string token_text(std::uint64_t prompt_hash, std::uint64_t offset) {
  std::uint64_t bits = combine_hashes(prompt_hash, offset);
  std::string text(kTokenTextBytes, ' ');
  for (std::size_t i = 1; i < kTokenTextBytes; ++i) {
    text[i] = static_cast<char>('a' + bits % kLetters);
    bits /= kLetters;
  }
  return text;
}

}  // namespace ochrespring::standin
