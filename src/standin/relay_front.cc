#include "standin/relay_front.h"

#include <utility>

#include "external/http/json.h"

namespace ochrespring::standin {

using external::Json;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnavailable = 503;

std::string header_of(const http::Request& request, std::string_view name) {
  return std::string(http::find_header(request.headers, name));
}

void refuse(const http::Request& request, const WriterPointer& response, const char* reason) {
  answer_error(response, kUnavailable, "not_run", reason,
               {{"x-request-id", header_of(request, "x-request-id")},
                {"x-not-run", "1"},
                {"x-not-run-reason", reason}});
}

}  // namespace

RelayFront::RelayFront(http::EventLoop& loop, const RelayFrontSettings& settings)
    : loop_(loop), settings_(settings), front_(loop, settings.listen, settings.fault_seed) {
  front_.route("/", [this](const http::Request& request, const WriterPointer& response) {
    handle_call(request, response);
  });
  front_.route("/log", [this](const http::Request&, const WriterPointer& response) {
    handle_log(response);
  });
  front_.route("/status", [this](const http::Request&, const WriterPointer& response) {
    answer_json(response, kOk, external::json_of(status()));
  });
  front_.route("/load", [this](const http::Request&, const WriterPointer& response) {
    answer_json(response, kOk, {{"reports", Json::array({external::json_of(load())})}});
  });
}

void RelayFront::handle_call(const http::Request& request, const WriterPointer& response) {
  if (draining_) {
    refuse(request, response, "draining");
    return;
  }
  if (in_flight_ >= settings_.concurrent_calls) {
    refuse(request, response, "overloaded");
    return;
  }
  ++in_flight_;
  // The effect comes first: whatever happens to the answer, this call has run.
  const std::uint64_t run = log_.record_run(header_of(request, "idempotency-key"));
  loop_.schedule_after(settings_.service_time, [this, request, run, response] {
    --in_flight_;
    answer_call(request, run, response);
  });
}

void RelayFront::answer_call(const http::Request& request, std::uint64_t run,
                             const WriterPointer& response) {
  const std::string request_id = header_of(request, "x-request-id");
  answer_json(response, kOk,
              {{"id", request_id},
               {"back_end", settings_.id.value()},
               {"idempotency_key", header_of(request, "idempotency-key")},
               {"path", request.path},
               {"run", run}},
              {{"x-request-id", request_id}});
}

void RelayFront::handle_log(const WriterPointer& response) const {
  Json doubled = Json::object();
  for (const RelayKeyCount& count : log_.doubled()) {
    doubled[count.key] = count.runs;
  }
  answer_json(response, kOk,
              {{"back_end", settings_.id.value()},
               {"runs", log_.runs()},
               {"keys", log_.counts()},
               {"doubled", doubled}});
}

engine::EngineStatus RelayFront::status() const {
  engine::EngineStatus status;
  status.engine = settings_.id;
  status.incarnation = Incarnation(1);
  status.role = fleet::EngineRole::kOrdinary;
  status.in_flight = in_flight_;
  return status;
}

engine::LoadReport RelayFront::load() {
  engine::LoadReport report;
  report.engine = settings_.id;
  report.incarnation = Incarnation(1);
  report.sequence = ++reports_;
  report.running_sequences = in_flight_;
  return report;
}

}  // namespace ochrespring::standin
