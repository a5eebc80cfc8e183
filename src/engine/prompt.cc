#include "engine/prompt.h"

#include <algorithm>

#include "base/hash.h"
#include "engine/types.h"

namespace ochrespring::engine {

std::uint32_t count_prompt_tokens(std::string_view prompt) {
  const std::size_t tokens = (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(tokens));
}

std::vector<std::uint64_t> prompt_blocks(std::string_view model, std::string_view prompt) {
  constexpr std::size_t kBlockBytes = std::size_t{kBytesPerToken} * kTokensPerBlock;
  std::vector<std::uint64_t> blocks;
  blocks.reserve(prompt.size() / kBlockBytes);
  std::uint64_t chained = stable_hash(model);
  while (prompt.size() >= kBlockBytes) {
    chained = stable_hash(prompt.substr(0, kBlockBytes), chained);
    blocks.push_back(chained);
    prompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

void append_chat_message(std::string& prompt, std::string_view role, std::string_view content) {
  prompt.append(role).append(": ").append(content).append("\n");
}

}  // namespace ochrespring::engine
