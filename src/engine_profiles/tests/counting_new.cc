#include "tests/counting_new.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

/// What the allocator keeps for each block.
constexpr std::size_t kBlockBytes = 8;
std::size_t bytes_allocated = 0;

}  // namespace

namespace ochrespring::engine_profiles::testing {

std::size_t bytes_in_use() {
  return bytes_allocated;
}

}  // namespace ochrespring::engine_profiles::testing

void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  bytes_allocated += malloc_usable_size(block) + kBlockBytes;
  return block;
}

void operator delete(void* block) noexcept {
  if (block != nullptr) {
    bytes_allocated -= malloc_usable_size(block) + kBlockBytes;
    std::free(block);
  }
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  operator delete(block);
}
