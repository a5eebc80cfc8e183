#include "base/socket_address.h"

#include <doctest/doctest.h>

#include <string>

namespace ochrespring {

TEST_CASE("endpoints round-trip through socket addresses") {
  for (const char* text : {"127.0.0.1:8080", "0.0.0.0:0", "[::1]:443", "[fe80::1]:65535"}) {
    const auto address = parse_endpoint(Endpoint(text));
    REQUIRE(address.has_value());
    CHECK(format_endpoint(address->get()) == Endpoint(text));
  }
}

TEST_CASE("text that is not an IP address and a port is rejected") {
  for (const char* text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                           "127.0.0.1:8x", "::1:80", "[::1]", "[127.0.0.1]:80"}) {
    CAPTURE(text);
    CHECK_FALSE(parse_endpoint(Endpoint(text)).has_value());
  }
}

TEST_CASE("an address with a NUL byte is rejected instead of being read up to there") {
  const std::string ipv4 = std::string("127.0.0.1") + '\0' + "x:80";
  const std::string ipv6 = std::string("[::1") + '\0' + "x]:80";
  CHECK_FALSE(parse_endpoint(Endpoint(ipv4)).has_value());
  CHECK_FALSE(parse_endpoint(Endpoint(ipv6)).has_value());
}

}  // namespace ochrespring
