// JSON answers of the stand-ins.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/server.h"

namespace ochrespring::standin {

using WriterPointer = std::shared_ptr<http::ResponseWriter>;

/// Sends a whole JSON answer.
void answer_json(const WriterPointer& response, std::uint16_t status, const nlohmann::json& body,
                 std::vector<http::Header> headers = {});
/// Sends `{"error": code, "message": message}`.
void answer_error(const WriterPointer& response, std::uint16_t status, std::string_view code,
                  std::string_view message, std::vector<http::Header> headers = {});
/// 429 with the time after which the call may be repeated.
void answer_rate_limited(const WriterPointer& response, Duration retry_after);
/// JSON of a request's body; answers 400 and returns nothing if it is not JSON.
std::optional<nlohmann::json> read_json(const http::Request& request,
                                        const WriterPointer& response);
/// A string field of a JSON object; empty if there is none.
std::string string_field(const nlohmann::json& json, const char* name);

}  // namespace ochrespring::standin
