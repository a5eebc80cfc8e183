#include "wire/compression.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace ochrespring;

TEST_CASE("compression round-trips, and corrupt data is an error") {
  const bool holds = rc::check([](const std::string& bytes) {
    const std::string packed = wire::compress(bytes);
    RC_ASSERT(wire::decompress(packed).value() == bytes);
    RC_ASSERT(wire::decompress(packed.substr(0, packed.size() - 1)).has_error());
    (void)wire::decompress(bytes);
  });
  CHECK(holds);
}

TEST_CASE("data that exceeds the limit after decompression is rejected") {
  const std::string packed = wire::compress(std::string(wire::kMaxDecompressedBytes + 1, 'x'));
  CHECK(packed.size() < wire::kMaxDecompressedBytes / 100);
  CHECK(wire::decompress(packed).has_error());
}
