#include "wire/compression.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace ochrespring;

TEST_CASE("compressed bytes survive; damaged ones are an error") {
  const bool holds = rc::check([](const std::string& bytes) {
    const std::string packed = wire::compress(bytes);
    RC_ASSERT(wire::decompress(packed).value() == bytes);
    RC_ASSERT(wire::decompress(packed.substr(0, packed.size() - 1)).has_error());
    (void)wire::decompress(bytes);
  });
  CHECK(holds);
}

TEST_CASE("bytes that would grow beyond all bounds are refused") {
  const std::string packed = wire::compress(std::string(wire::kLargestInflatedBytes + 1, 'x'));
  CHECK(packed.size() < wire::kLargestInflatedBytes / 100);
  CHECK(wire::decompress(packed).has_error());
}
