#include "base/hash.h"

#include <xxhash.h>

#include <array>
#include <memory>

namespace ochrespring {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

Hash128 stable_hash_128(std::initializer_list<std::string_view> texts) {
  struct FreeState {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  // The state takes half a kilobyte, so it is allocated once per thread.
  thread_local const std::unique_ptr<XXH3_state_t, FreeState> state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  for (const std::string_view text : texts) {
    const std::uint64_t size = text.size();
    XXH3_128bits_update(state.get(), &size, sizeof(size));
    XXH3_128bits_update(state.get(), text.data(), text.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {hash.high64, hash.low64};
}

std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH64(pair.data(), sizeof(pair), 0);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member) {
  return combine_hashes(stable_hash(key), stable_hash(member));
}

}  // namespace ochrespring
