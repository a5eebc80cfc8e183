// Tests for what is parsed from a response head, and what is ignored.
#include "gateway/backend_statement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;

namespace {

using Kind = BackoffStatement::Kind;

BackendStatement read(std::uint16_t status, std::vector<http::Header> headers) {
  return parse_statement({status, std::move(headers)}, HeaderNames());
}

BackoffStatement backoff_of(const std::vector<std::string>& values) {
  std::vector<http::Header> headers{{HeaderNames().not_run, "1"}};
  for (const std::string& value : values) {
    headers.push_back({"retry-after", value});
  }
  return read(503, headers).backoff;
}

}  // namespace

TEST_CASE("decimal seconds are parsed and rounded up") {
  struct Row {
    const char* text;
    Duration span;
  };
  for (const Row& row :
       {Row{"0", 0s}, Row{"3", 3s}, Row{"0.7", 700ms}, Row{"007", 7s}, Row{"2.000000000", 2s},
        Row{"2.9999999999999996", 3s}, Row{"0.0000000001", 1ns}, Row{"999999999", 999999999s}}) {
    CAPTURE(row.text);
    const auto span = parse_seconds(row.text);
    REQUIRE(span);
    CHECK(*span == row.span);
  }
}

TEST_CASE("a malformed number of seconds requests no backoff") {
  for (const char* text :
       {"", " ", "soon", "-3", "+3", "1e9", "nan", "3 s", "3,5", ".5", "5.", "1.2.3", "0x10",
        "Fri, 31 Dec 1999 23:59:59 GMT", "1234567890123456789012345678901234567890"}) {
    CAPTURE(text);
    CHECK_FALSE(parse_seconds(text));
    CHECK(backoff_of({text}).kind == Kind::kMalformed);
  }
}

TEST_CASE("of several retry-after headers the longest valid time applies") {
  CHECK(backoff_of({}).kind == Kind::kNone);
  CHECK(backoff_of({"2", "3.5", "1"}).span == 3500ms);
  CHECK(backoff_of({"soon", "2"}).span == 2s);
  CHECK(backoff_of({"2", "soon"}).kind == Kind::kRequested);
}

TEST_CASE("only a 503 response in which the server refuses the request requests a backoff") {
  const HeaderNames names;
  const http::Header time{"retry-after", "3"};
  CHECK(read(503, {time}).backoff.kind == Kind::kRequested);
  CHECK(read(503, {time, {names.not_run, "1"}}).backoff.kind == Kind::kRequested);
  CHECK(read(503, {time, {names.not_run, "1"}, {names.signature, "s"}}).backoff.kind ==
        Kind::kRequested);
  // Signed by the application, about one request only.
  CHECK(read(503, {time, {names.signature, "s"}}).backoff.kind == Kind::kNone);
  for (const std::uint16_t status : {200, 421, 429, 500, 502, 504}) {
    CAPTURE(status);
    CHECK(read(status, {time, {names.not_run, "1"}}).backoff.kind == Kind::kNone);
  }
}

TEST_CASE("a leaving header has an effect only with the value 1") {
  const HeaderNames names;
  CHECK(read(200, {{names.leaving, "1"}}).leaving);
  CHECK(read(503, {{names.leaving, "1"}}).leaving);
  CHECK(read(200, {{names.leaving, "x"}, {names.leaving, "1"}}).leaving);
  CHECK_FALSE(read(200, {}).leaving);
  CHECK_FALSE(read(200, {}).leaving_malformed);
  for (const char* text : {"0", "", "true", "11", "1 "}) {
    CAPTURE(text);
    const BackendStatement statement = read(200, {{names.leaving, text}});
    CHECK_FALSE(statement.leaving);
    CHECK(statement.leaving_malformed);
  }
}

TEST_CASE("headers of a response from another server at the address are ignored") {
  const HeaderNames names;
  const BackendStatement statement = read(421, {{names.leaving, "1"},
                                                {names.load, "1,2,3"},
                                                {names.rate_limit, "1"},
                                                {names.signature, "s"},
                                                {"retry-after", "3"}});
  CHECK(statement.misdirected);
  CHECK(statement.not_run);
  CHECK_FALSE(statement.leaving);
  CHECK_FALSE(statement.load);
  CHECK(statement.rate_limit.kind == RateStatement::Kind::kNone);
  CHECK(statement.backoff.kind == Kind::kNone);
}

TEST_CASE(
    "any text is parsed without a crash, and the parsed time is never shorter than the number") {
  CHECK(rc::check([](const std::string& text) { parse_seconds(text); }));
  CHECK(rc::check([](std::uint16_t whole, std::uint64_t fraction) {
    const std::string text = std::to_string(whole) + "." + std::to_string(fraction);
    const auto span = parse_seconds(text);
    RC_ASSERT(span.has_value());
    RC_ASSERT(to_seconds(*span) >= std::stod(text) - 1e-9);
    RC_ASSERT(to_seconds(*span) <= std::stod(text) + 2e-9);
  }));
}

// Covers every header that has a documented meaning in a server's response. A header without an
// effect on parse_statement() states the reason.
TEST_CASE("every documented response header is evaluated or has a stated reason not to be") {
  const HeaderNames names;
  const auto differs = [&](const http::Header& header, std::uint16_t status) {
    const BackendStatement with = read(status, {header});
    const BackendStatement without = read(status, {});
    return with.load.has_value() != without.load.has_value() ||
           with.rate_limit.kind != without.rate_limit.kind ||
           with.backoff.kind != without.backoff.kind || with.leaving != without.leaving ||
           with.not_run != without.not_run || with.is_signed != without.is_signed;
  };
  struct Row {
    http::Header header;
    std::uint16_t status;
    const char* other_reader;  ///< Null: parse_statement().
  };
  const Row rows[] = {
      {{names.load, "1,2,8"}, 200, nullptr},
      {{names.rate_limit, "2.5"}, 200, nullptr},
      {{names.retry_after, "3"}, 503, nullptr},
      {{names.leaving, "1"}, 200, nullptr},
      {{names.not_run, "1"}, 503, nullptr},
      {{names.signature, "s"}, 200, nullptr},
      {{names.request_id, "r1"}, 200, "http::ClientExchange, compares it with the request"},
      {{"connection", "close"}, 200, "http::ClientExchange"},
      {{"keep-alive", "timeout=4"}, 200, "http::ClientExchange"},
      {{"content-length", "5"}, 200, "http::ClientExchange"},
      {{"transfer-encoding", "chunked"}, 200, "http::ClientExchange"},
      {{"content-encoding", "gzip"}, 200, "none: bodies are forwarded unchanged"},
      {{"x-instance-id", "i"},
       200,
       "none: there are no health requests; status 421 shows another instance"},
      {{"x-weight-versions", "3"}, 200, "none: no version is requested; forwarded to the caller"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.header.name);
    CHECK(differs(row.header, row.status) == (row.other_reader == nullptr));
  }
}
