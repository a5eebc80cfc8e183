// Prompts as engines and proxies count and hash them: both sides must agree, or beliefs about
// cached prefixes would never match.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ochrespring::engine {

/// Bytes of prompt text counted as one token. The usual rule of thumb for natural language; exact
/// counts would need each model's tokenizer, and all that depends on the count is an estimate.
inline constexpr std::uint32_t kBytesPerToken = 4;

/// Tokens of a prompt, at least 1.
std::uint32_t count_prompt_tokens(std::string_view prompt);

/// Chained hashes of the prompt's full blocks of kTokensPerBlock tokens: each covers all text
/// before its end, so equal hashes mean equal prefixes. `model` keeps prompts of different models
/// apart.
std::vector<std::uint64_t> prompt_blocks(std::string_view model, std::string_view prompt);

/// Appends one message of a chat to the prompt text that stands for the whole chat.
void append_chat_message(std::string& prompt, std::string_view role, std::string_view content);

}  // namespace ochrespring::engine
