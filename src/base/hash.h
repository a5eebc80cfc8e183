// Stable 64-bit hashing (xxHash), the same on every machine and in every run.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace ochrespring {

/// Hashes bytes with a seed.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

struct Hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

/// Hashes (XXH3) several texts in order, each with its length: ("ab", "c") and ("a", "bc") differ.
Hash128 stable_hash_128(std::initializer_list<std::string_view> texts);

/// Combines two hashes into one; the order matters.
std::uint64_t combine_hashes(std::uint64_t first, std::uint64_t second);

/// Weight of `member` for `key` in rendezvous hashing; the members with the highest weights own the
/// key.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

}  // namespace ochrespring
