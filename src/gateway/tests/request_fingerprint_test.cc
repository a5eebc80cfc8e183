// Tests of which parts of a request its fingerprint covers.
#include "gateway/request_fingerprint.h"

#include <doctest/doctest.h>

#include <set>
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
  other.body.push_back('\0');
  seen.insert(fingerprint_of(other, "t"));
  other = make_request();
  std::swap(other.path, other.query);
  seen.insert(fingerprint_of(other, "t"));
  CHECK(seen.size() == 8);
}
