#include "base/socket_address.h"

#include <doctest/doctest.h>

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

}  // namespace ochrespring
