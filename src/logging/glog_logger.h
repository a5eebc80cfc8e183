// Writes log records as JSON lines through glog.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "logging/logger.h"

namespace ochrespring::logging {

/// One JSON object without a line end: time, level, component, message, then the record's fields.
/// Bytes that are not UTF-8 are replaced.
std::string render_json(const Record& record, WallTime time);

/// Level from its name (`debug`, `info`, `warning`, `error`); returns false for any other name.
bool parse_level(std::string_view name, Level& level);

/// Where lines go; machines keep no disk.
enum class LogOutput : std::uint8_t { kStandardError, kStandardOutput };

/// Logger over glog, which the process's single instance initialises. Records below `least` are
/// dropped. A line that a pipe does not take at once is lost rather than waited for.
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
