// The parts of a prompt, as named by the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ochrespring::gateway {

struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;
  std::uint64_t key = 0;  ///< Hash of the id, equal on all nodes.
};

/// Parts of a prompt in order; the last one belongs to the request or its session alone.
struct Prompt {
  std::vector<PromptPart> parts;
  std::uint64_t tokens = 0;         ///< Of the whole prompt.
  std::uint64_t output_tokens = 0;  ///< Upper bound.
  /// The caller's estimate, at most `output_tokens`; equal to it without an estimate.
  std::uint64_t expected_output_tokens = 0;

  /// Id of the last shared part, which identifies the shared prefix; empty if there is none.
  std::string_view shared_prefix_id() const;
  std::uint64_t shared_tokens() const;
  std::uint64_t own_tokens() const { return tokens - shared_tokens(); }
};

/// The ids of the shared parts, separated by commas, for logs; cut to 400 bytes.
std::string describe_shared_parts(const Prompt& prompt);

/// Parts that are looked at; those behind them count with their tokens only. A part takes many
/// times its bytes in the head.
inline constexpr std::size_t kMaxPromptParts = 512;

/// Parses `ID:TOKENS,...` and `PROMPT,OUTPUT`. A malformed number counts as 0; parts without an id
/// are skipped.
/// `estimate` is the estimated number of output tokens; may be empty.
Prompt parse_prompt(std::string_view parts, std::string_view counts,
                    std::string_view estimate = {});

}  // namespace ochrespring::gateway
