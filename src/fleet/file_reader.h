// Fleet files as operators write them, in YAML or JSON. Every wrong field is reported with its
// line.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/errc.h"
#include "fleet/resource.h"

namespace ochrespring::fleet {

/// Lines of a file by field path, such as `engines[drafting-1].zone`.
class SourceLines {
 public:
  void record(const std::string& path, std::uint32_t line) { lines_[path] = line; }
  /// Line of the field, or of the closest enclosing part that is in the file; 0 if none is.
  std::uint32_t line_of(std::string_view path) const;

 private:
  std::map<std::string, std::uint32_t, std::less<>> lines_;
};

/// Contents of a fleet file: any subset of a fleet.
struct FleetFile {
  std::vector<Resource> resources;
  SourceLines lines;
};

/// Largest file that is read, in bytes.
inline constexpr std::size_t kLargestFleetFile = 32U << 20U;

/// Reads a file's text. A text that begins with `{` must be strict JSON, any other is YAML. The
/// `status` part of a resource, which the writers add, is skipped. Errors: kMalformed with the line
/// of the syntax error, kInvalid with every wrong field.
Result<FleetFile, FleetError> read_fleet_text(const std::string& text);

}  // namespace ochrespring::fleet
