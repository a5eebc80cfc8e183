#include "logging/glog_logger.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace ochrespring::logging {

TEST_CASE("a record is written as one JSON object with typed fields") {
  const Record record{Level::kWarning,
                      "authority",
                      "lease \"lost\"\n",
                      {{"epoch", std::uint64_t{7}}, {"request_id", std::string("r-1")}}};
  const std::string line = render_json(record, WallTime(std::chrono::milliseconds(1500)));
  CHECK(line.find('\n') == std::string::npos);
  const auto parsed = nlohmann::json::parse(line);
  CHECK(parsed["time"] == "1970-01-01T00:00:01.500000Z");
  CHECK(parsed["level"] == "warning");
  CHECK(parsed["component"] == "authority");
  CHECK(parsed["message"] == "lease \"lost\"\n");
  CHECK(parsed["epoch"] == 7);
  CHECK(parsed["request_id"] == "r-1");
}

TEST_CASE("invalid UTF-8 still gives valid JSON") {
  const Record record{Level::kInfo, "proxy", "bad \xff byte", {}};
  CHECK(nlohmann::json::accept(render_json(record, WallTime{})));
}

TEST_CASE("levels are parsed by name") {
  Level level = Level::kInfo;
  CHECK(parse_level("error", level));
  CHECK(level == Level::kError);
  CHECK_FALSE(parse_level("loud", level));
}

}  // namespace ochrespring::logging
