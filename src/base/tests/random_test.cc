#include "base/random.h"

#include <doctest/doctest.h>

namespace ochrespring {

TEST_CASE("the same seed gives the same numbers") {
  SeededRandom first(7);
  SeededRandom second(7);
  for (int i = 0; i < 100; ++i) {
    CHECK(first.next() == second.next());
  }
}

TEST_CASE("below() stays under its bound and reaches all values") {
  SeededRandom random(1);
  unsigned seen = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto value = random.below(5);
    REQUIRE(value < 5);
    seen |= 1U << value;
  }
  CHECK(seen == 0b11111U);
}

TEST_CASE("exponential() has the given mean") {
  SeededRandom random(3);
  double sum = 0;
  constexpr int kDraws = 200000;
  for (int i = 0; i < kDraws; ++i) {
    sum += random.exponential(2.5);
  }
  CHECK(sum / kDraws == doctest::Approx(2.5).epsilon(0.02));
}

}  // namespace ochrespring
