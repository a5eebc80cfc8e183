// The text a stand-in engine generates: each token is a function of the prompt and of its offset,
// so that a checker knows every byte of the right answer, also after a resume on another engine.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ochrespring::standin {

/// Text of the token at `offset` of the answer to `prompt`: a space and five letters.
std::string token_text(std::uint64_t prompt_hash, std::uint64_t offset);

/// Bytes of every token.
inline constexpr std::size_t kTokenTextBytes = 6;

/// Identifies a prompt's text.
std::uint64_t prompt_hash(std::string_view prompt);

}  // namespace ochrespring::standin
