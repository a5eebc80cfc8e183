// Names of the headers the proxy reads and writes. docs/PROXY.md describes them.
#pragma once

#include <string_view>

namespace ochrespring::proxy::header {

inline constexpr std::string_view kRequestId = "x-request-id";
inline constexpr std::string_view kOutcome = "x-ochrespring-outcome";
inline constexpr std::string_view kRepeated = "x-ochrespring-repeated";
inline constexpr std::string_view kTenant = "x-tenant";
inline constexpr std::string_view kSession = "x-session";
inline constexpr std::string_view kPriority = "x-priority";
inline constexpr std::string_view kDeadline = "x-deadline-ms";
inline constexpr std::string_view kIdempotencyKey = "idempotency-key";
inline constexpr std::string_view kResumeOffset = "x-resume-offset";
inline constexpr std::string_view kNotRun = "x-not-run";
inline constexpr std::string_view kNotRunReason = "x-not-run-reason";
inline constexpr std::string_view kPrefillOnly = "x-prefill-only";
inline constexpr std::string_view kKvSource = "x-kv-source";
inline constexpr std::string_view kKvHandle = "x-kv-handle";
inline constexpr std::string_view kContentType = "content-type";
inline constexpr std::string_view kContentLength = "content-length";

}  // namespace ochrespring::proxy::header
