#include "gateway/prompt.h"

#include <algorithm>
#include <charconv>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

/// Maximum size of describe_shared_parts() in bytes.
constexpr std::size_t kMaxDescription = 400;

std::uint64_t read_number(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Removes the text up to `separator`, and the separator, from the front and returns the text.
std::string_view take_until(std::string_view& text, char separator) {
  const std::size_t at = std::min(text.find(separator), text.size());
  const std::string_view taken = text.substr(0, at);
  text.remove_prefix(std::min(at + 1, text.size()));
  return taken;
}

}  // namespace

std::string_view Prompt::shared_prefix_id() const {
  return parts.size() < 2 ? std::string_view() : std::string_view(parts[parts.size() - 2].id);
}

std::uint64_t Prompt::shared_tokens() const {
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    sum += parts[i].tokens;
  }
  return std::min(sum, tokens);
}

std::string describe_shared_parts(const Prompt& prompt) {
  std::string text;
  for (std::size_t i = 0; i + 1 < prompt.parts.size() && text.size() < kMaxDescription; ++i) {
    text.append(text.empty() ? "" : ",").append(prompt.parts[i].id);
  }
  text.resize(std::min(text.size(), kMaxDescription));
  return text;
}

Prompt parse_prompt(std::string_view parts, std::string_view counts, std::string_view estimate) {
  Prompt prompt;
  std::uint64_t sum = 0;
  while (!parts.empty()) {
    std::string_view part = take_until(parts, ',');
    std::string_view id = take_until(part, ':');
    id.remove_prefix(std::min(id.find_first_not_of(' '), id.size()));
    if (id.empty()) {
      continue;
    }
    const std::uint64_t tokens = read_number(part);
    sum += tokens;
    if (prompt.parts.size() < kMaxPromptParts) {
      prompt.parts.push_back({std::string(id), tokens, stable_hash(id)});
    }
  }
  prompt.tokens = read_number(take_until(counts, ','));
  prompt.output_tokens = read_number(counts);
  const std::uint64_t expected = std::min(read_number(estimate), prompt.output_tokens);
  prompt.expected_output_tokens = expected == 0 ? prompt.output_tokens : expected;
  if (prompt.tokens == 0) {
    prompt.tokens = sum;
  }
  return prompt;
}

}  // namespace ochrespring::gateway
