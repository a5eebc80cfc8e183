// Structured logging. Components are given a Logger; the one of a node writes JSON lines through
// glog.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace ochrespring::logging {

enum class Level : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One named value of a log record.
struct Field {
  std::string_view name;  ///< String literal, such as "request_id", "revision", "epoch".
  std::variant<std::string, std::int64_t, std::uint64_t, double, bool> value;
};

struct Record {
  Level level = Level::kInfo;
  std::string_view component;  ///< String literal: the directory name of the subsystem.
  std::string message;
  std::vector<Field> fields;
};

/// Receives log records. Implementations never block for long and document their thread safety.
class Logger {
 public:
  virtual ~Logger() = default;
  virtual void write(const Record& record) = 0;
};

/// Discards all records; for tests and nodes without logging.
class NullLogger final : public Logger {
 public:
  void write(const Record& /*record*/) override {}
};

}  // namespace ochrespring::logging
