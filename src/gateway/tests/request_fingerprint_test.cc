// Tests of which parts of a request its fingerprint covers.
#include "gateway/request_fingerprint.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>

using namespace ochrespring;
using namespace ochrespring::gateway;

namespace {

http::Request make_request() {
  return {"POST", "/a/b", "c=1", {{"host", "h"}, {"x-request-id", "r1"}}, "body"};
}

}  // namespace

TEST_CASE("request id, deadline and last event do not change the fingerprint") {
  http::Request again = make_request();
  again.headers = {{"x-request-id", "r2"}, {"host", "h"}, {"x-deadline-ms", "7"}, {"last", "3"}};
  CHECK(fingerprint_of(again, "t") == fingerprint_of(make_request(), "t"));
}

TEST_CASE("caller, method, host, path, query and body each change the fingerprint") {
  std::set<RequestFingerprint> seen{fingerprint_of(make_request(), "t"),
                                    fingerprint_of(make_request(), "u")};
  http::Request other = make_request();
  other.method = "PUT";
  seen.insert(fingerprint_of(other, "t"));
  other = make_request();
  other.headers[0].value = "i";
  seen.insert(fingerprint_of(other, "t"));
  other = make_request();
  other.path = "/a/b/";
  seen.insert(fingerprint_of(other, "t"));
  other = make_request();
  other.query.clear();
  seen.insert(fingerprint_of(other, "t"));
  other = make_request();
  other.body = std::string(other.body.view()) + '\0';
  seen.insert(fingerprint_of(other, "t"));
  other = make_request();
  std::swap(other.path, other.query);
  seen.insert(fingerprint_of(other, "t"));
  CHECK(seen.size() == 8);
}

// Guards against parts that are taken for those of another service, and against a request's own
// part being held for others.
TEST_CASE("the shared parts of a prompt have a fingerprint each, the last part has none") {
  const ServiceName service("s");
  const auto parts = fingerprints_of_parts(service, parse_prompt("a:1,b:2,a:3,c:4", ""));
  REQUIRE(parts.size() == 2);
  CHECK(parts == fingerprints_of_parts(service, parse_prompt("a:9,b:9,own:9", "")));
  CHECK(parts != fingerprints_of_parts(ServiceName("t"), parse_prompt("a:9,b:9,own:9", "")));
  CHECK(parts[0].is_prompt_part());
  CHECK_FALSE(fingerprint_of(make_request(), "t").is_prompt_part());
  CHECK(fingerprints_of_parts(service, parse_prompt("own:9", "")).empty());
}

// Guards against a prompt of very many parts that fills ledgers and messages.
TEST_CASE("parts behind the 64th are left out") {
  std::string header;
  for (int i = 0; i != 500; ++i) {
    header += "p" + std::to_string(i) + ":1,";
  }
  CHECK(fingerprints_of_parts(ServiceName("s"), parse_prompt(header, "")).size() ==
        kMaxSharedParts);
}
