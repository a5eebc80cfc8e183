// Counts what a test program allocates.
#pragma once

#include <cstddef>

namespace ochrespring::engine_profiles::testing {

/// Bytes allocated by `new` and not freed, with those of the allocator for each block.
std::size_t bytes_in_use();

}  // namespace ochrespring::engine_profiles::testing
