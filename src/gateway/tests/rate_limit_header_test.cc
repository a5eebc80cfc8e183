// Tests for parsing a back end's rate limit.
#include "gateway/rate_limit_header.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

using namespace ochrespring;
using namespace ochrespring::gateway;

namespace {

using Kind = RateStatement::Kind;

RateStatement read(const std::vector<std::string>& values) {
  std::vector<http::Header> headers{{"other", "1"}};
  for (const std::string& value : values) {
    headers.push_back({"limit", value});
  }
  return parse_rate_limit(headers, "limit");
}

}  // namespace

TEST_CASE("decimal numbers are parsed as rates, rounded down to thousandths") {
  struct Row {
    const char* text;
    std::uint64_t thousandths;
  };
  for (const Row& row :
       {Row{"0", 0}, Row{"0.0", 0}, Row{"1", 1000}, Row{"1.3", 1300}, Row{"0.0004", 0},
        Row{"2.3459", 2345}, Row{"007", 7000}, Row{"999999999.999999999", 999999999999}}) {
    CAPTURE(row.text);
    const auto rate = parse_rate(row.text);
    REQUIRE(rate);
    CHECK(rate->thousandths == row.thousandths);
  }
}

TEST_CASE("anything but a decimal number is rejected") {
  for (const char* text :
       {"", " ", "-1", "+1", "nan", "inf", "1e9", "1,3", ".5", "5.", "1.2.3", "0x10", "1 ", " 1",
        "1/s", "1234567890123456789012345678901234567890", "0.1234567890123"}) {
    CAPTURE(text);
    CHECK_FALSE(parse_rate(text));
  }
}

TEST_CASE("of several headers the lowest valid rate applies") {
  CHECK(read({}).kind == Kind::kNone);
  CHECK(read({"1.5"}).rate.thousandths == 1500);
  CHECK(read({"3", "1.5", "2"}).rate.thousandths == 1500);
  CHECK(read({"x", "2"}).kind == Kind::kLimited);
  CHECK(read({"2", "x"}).rate.thousandths == 2000);
  CHECK(read({"1,3"}).kind == Kind::kMalformed);
  CHECK(read({""}).kind == Kind::kMalformed);
}

TEST_CASE("any text is parsed without a crash, and the parsed rate is never above the number") {
  CHECK(rc::check([](const std::string& text) { parse_rate(text); }));
  CHECK(rc::check([](std::uint32_t whole, std::uint16_t fraction) {
    const std::string text = std::to_string(whole % 1000000000U) + "." + std::to_string(fraction);
    const auto rate = parse_rate(text);
    RC_ASSERT(rate.has_value());
    RC_ASSERT(rate->per_second() <= std::stod(text) + 1e-6);
    RC_ASSERT(rate->per_second() >= std::stod(text) - 0.001 - 1e-6);
  }));
}
