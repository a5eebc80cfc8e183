// Validation of single setting values. Each function returns whether the text is valid and stores
// the value. Private to src/settings.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "logging/logger.h"

namespace ochrespring::settings {

/// Range of an integer, with a human-readable description.
struct NumberRange {
  std::uint64_t min = 0;
  std::uint64_t max = 0;

  std::string describe() const;
};

/// Names of nodes, zones, regions and clusters.
inline constexpr const char* kNameRule =
    "1 to 63 of a-z, 0-9, '-' and '.', a letter or digit first";
inline constexpr const char* kEndpointRule =
    "an IP address and a port, such as 127.0.0.1:8080 or [::1]:0";
inline constexpr const char* kPeerEndpointRule =
    "an IP address and a port from 1 to 65535, such as 10.0.0.7:7000";
inline constexpr const char* kLevelRule = "debug, info, warning or error";
inline constexpr const char* kFileRule = "the path of a readable file";

bool read_name(const std::string& text, std::string& value);
bool read_number(const std::string& text, const NumberRange& range, std::uint64_t& value);
/// Accepts port 0.
bool read_listen_endpoint(const std::string& text, Endpoint& value);
/// Rejects port 0.
bool read_remote_endpoint(const std::string& text, Endpoint& value);
bool read_level(const std::string& text, logging::Level& value);
bool read_file_name(const std::string& text, std::string& value);

}  // namespace ochrespring::settings
