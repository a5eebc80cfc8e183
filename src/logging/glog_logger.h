// Writes log records as JSON lines through glog.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "logging/logger.h"

namespace ochrespring::logging {

/// Formats a record as one JSON object without a line end: time, level, component, message, then
/// the fields of the record. Invalid UTF-8 is replaced.
std::string render_json(const Record& record, WallTime time);

/// Parses a level name (`debug`, `info`, `warning`, `error`); returns false for any other name.
bool parse_level(std::string_view name, Level& level);

/// Output of log lines. Machines have no disk, so there are no log files.
enum class LogOutput : std::uint8_t { kStandardError, kStandardOutput };

/// Logger that writes through glog. The constructor initializes glog, so there must be at most one
/// instance per process. Thread-safe. Records below `min_level` are dropped. A line that a pipe
/// cannot accept immediately is dropped instead of blocking.
class GlogLogger final : public Logger {
 public:
  GlogLogger(const std::string& program, Level min_level, const Clock& clock,
             LogOutput output = LogOutput::kStandardError);
  ~GlogLogger() override;
  GlogLogger(const GlogLogger&) = delete;
  GlogLogger& operator=(const GlogLogger&) = delete;

  void write(const Record& record) override;

 private:
  class Sink;

  Level min_level_;
  const Clock& clock_;
  std::unique_ptr<Sink> sink_;
};

}  // namespace ochrespring::logging
