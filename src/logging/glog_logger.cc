#include "logging/glog_logger.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace ochrespring::logging {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;

std::string format_time(WallTime time) {
  const std::int64_t nanoseconds = time.time_since_epoch().count();
  const std::time_t seconds = nanoseconds / kNanosecondsPerSecond;
  const auto microseconds =
      static_cast<int>(nanoseconds % kNanosecondsPerSecond / kNanosecondsPerMicrosecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + length, text.size() - length, ".%06dZ", microseconds);
  return text.data();
}

google::LogSeverity severity(Level level) {
  switch (level) {
    case Level::kDebug:
    case Level::kInfo:
      return google::GLOG_INFO;
    case Level::kWarning:
      return google::GLOG_WARNING;
    case Level::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_INFO;
}

}  // namespace

std::string render_json(const Record& record, WallTime time) {
  nlohmann::ordered_json line;
  line["time"] = format_time(time);
  line["level"] = kLevelNames.at(static_cast<std::size_t>(record.level));
  line["component"] = record.component;
  line["message"] = record.message;
  for (const Field& field : record.fields) {
    std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
  }
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

bool parse_level(std::string_view name, Level& level) {
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames.at(index) == name) {
      level = static_cast<Level>(index);
      return true;
    }
  }
  return false;
}

/// Writes each line with one non-blocking call.
class GlogLogger::Sink final : public google::LogSink {
 public:
  explicit Sink(int descriptor) : descriptor_(descriptor) {
    struct stat status {};
    const bool may_block = ::fstat(descriptor_, &status) == 0 &&
                           (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
    if (may_block) {
      ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
    }
  }

  void send(google::LogSeverity /*severity*/, const char* /*path*/, const char* /*file*/,
            int /*line*/, const google::LogMessageTime& /*time*/, const char* message,
            std::size_t size) override {
    std::string text(message, size);
    text += '\n';
    // A line that cannot be written is dropped: logging must not block requests.
    static_cast<void>(!::write(descriptor_, text.data(), text.size()));
  }

 private:
  int descriptor_;
};

GlogLogger::GlogLogger(const std::string& program, Level min_level, const Clock& clock,
                       LogOutput output)
    : min_level_(min_level),
      clock_(clock),
      sink_(std::make_unique<Sink>(output == LogOutput::kStandardOutput ? STDOUT_FILENO
                                                                        : STDERR_FILENO)) {
  FLAGS_logtostderr = true;
  // The record contains the time and level itself.
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(program.c_str());
}

GlogLogger::~GlogLogger() {
  google::ShutdownGoogleLogging();
}

void GlogLogger::write(const Record& record) {
  if (record.level < min_level_) {
    return;
  }
  const std::string line = render_json(record, clock_.wall_now());
  google::LogMessage(__FILE__, __LINE__, severity(record.level), sink_.get(), false).stream()
      << line;
}

}  // namespace ochrespring::logging
