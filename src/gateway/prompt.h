// The parts of a prompt as a caller names them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ochrespring::gateway {

struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;
  std::uint64_t key = 0;  ///< Stable hash of the id, the same on every node.
};

/// Parts in order; the last is the request's own or its session's.
struct Prompt {
  std::vector<PromptPart> parts;
  std::uint64_t tokens = 0;         ///< All of the prompt.
  std::uint64_t output_tokens = 0;  ///< At most.
  /// The caller's estimate, no more than `output_tokens`; `output_tokens` without one.
  std::uint64_t expected_output_tokens = 0;

  /// Key of what the prompt shares with others: the last part before its own, or empty.
  std::string_view shared_key() const;
  std::uint64_t shared_tokens() const;
  std::uint64_t own_tokens() const { return tokens - shared_tokens(); }
};

/// Reads `ID:TOKENS,...` and `PROMPT,OUTPUT`; what cannot be read is left out.
/// `estimate`: of the output in tokens; may be empty.
Prompt parse_prompt(std::string_view parts, std::string_view counts,
                    std::string_view estimate = {});

}  // namespace ochrespring::gateway
