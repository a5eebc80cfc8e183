#include "gateway/request_log.h"

namespace ochrespring::gateway {

void RequestLog::note_attempt(std::string_view message, std::string_view detail,
                              const Attempt* attempt) const {
  const bool fetches = attempt != nullptr && attempt->cache_source;
  const bool replicates = attempt != nullptr && attempt->cache_backup;
  const bool resumes = attempt != nullptr && attempt->resumed_run;
  write(message, {{"request_id", id_},
                  {"backend", attempt != nullptr ? attempt->backend.value() : ""},
                  {"version", attempt != nullptr ? attempt->version.value() : ""},
                  {"detail", std::string(detail)},
                  {"unread_tokens", attempt != nullptr ? attempt->prefill_tokens : 0},
                  {"cache_source", fetches ? attempt->cache_source->value() : ""},
                  {"cache_backup", replicates ? attempt->cache_backup->value() : ""},
                  {"continued_from", resumes ? attempt->resumed_run->runner.value() : ""},
                  {"age_milliseconds", age()}});
}

void RequestLog::note_failure(const http::HttpError& error, const Attempt& attempt,
                              std::string fingerprint, const Prompt* prompt) const {
  write("attempt failed",
        {{"request_id", id_},
         {"fingerprint", std::move(fingerprint)},
         {"prompt_parts", prompt != nullptr ? describe_shared_parts(*prompt) : ""},
         {"route", route_.name.value()},
         {"tenant", tenant_name()},
         {"backend", attempt.backend.value()},
         {"error", std::string(http::describe(error.code))},
         {"detail", error.message},
         {"prefill", attempt.is_prefill_call},
         {"answer_begun", attempt.head.has_value()},
         {"attempt_milliseconds", to_milliseconds(clock_.now() - attempt.started)},
         {"age_milliseconds", age()}});
}

void RequestLog::note_denied(const BackendId& backend) const {
  write("request not sent: rate limit",
        {{"request_id", id_}, {"backend", backend.value()}, {"age_milliseconds", age()}});
}

void RequestLog::note_retry_charge(bool granted, const ServiceName& service,
                                   const RetryBudgetUse& use, std::uint32_t nodes) const {
  write(granted ? "retry charged" : "retry denied by the budget",
        {{"request_id", id_},
         {"service", service.value()},
         {"charged", std::uint64_t{use.charged}},
         {"allowed", use.allowed},
         {"sharing_nodes", std::uint64_t{nodes}},
         {"age_milliseconds", age()}});
}

void RequestLog::note_end(const End& end, const StreamTiming& timing) const {
  write("request ended", {{"request_id", id_},
                          {"fingerprint", end.fingerprint},
                          {"route", route_.name.value()},
                          {"service", end.service},
                          {"tenant", tenant_name()},
                          {"outcome", end.outcome},
                          {"reason", end.reason},
                          {"resumed_attempt", end.resumed_attempt},
                          {"not_sent_again", end.not_sent_again},
                          {"attempts", end.attempts},
                          {"attempts_stalled", end.attempts_stalled},
                          {"configuration", end.configuration},
                          {"current_configuration", end.current_configuration},
                          {"silence_milliseconds", to_milliseconds(end.silence)},
                          {"most_output_tokens", end.most_output_tokens},
                          {"caller_protocol", end.caller_protocol},
                          {"ends_with_connection", end.ends_with_connection},
                          {"incomplete_event_bytes", end.incomplete_event_bytes},
                          {"read_delay_milliseconds", to_milliseconds(end.read_delay)},
                          {"events", timing.events()},
                          {"longest_gap_milliseconds", to_milliseconds(timing.longest_gap())},
                          {"last_event_milliseconds",
                           to_milliseconds(timing.last_event().value_or(arrived_) - arrived_)},
                          {"milliseconds", age()}});
}

void RequestLog::write(std::string_view message, std::vector<logging::Field> fields) const {
  logger_.write({logging::Level::kInfo, "gateway", std::string(message), std::move(fields)});
}

}  // namespace ochrespring::gateway
