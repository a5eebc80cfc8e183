#include "standin/engine_front.h"

#include <algorithm>
#include <utility>

#include "engine/prompt.h"
#include "external/http/encoding.h"
#include "external/http/json.h"
#include "standin/engine_run.h"

namespace ochrespring::standin {

using engine_model::Distance;
using engine_model::SubmitResult;
using external::Json;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kAccepted = 202;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kUnavailable = 503;
constexpr Duration kExportTimeout = std::chrono::seconds(2);

Distance distance_between(const EnginePlace& here, const Json& there) {
  if (string_field(there, "server") == here.server.value()) {
    return Distance::kSameServer;
  }
  if (string_field(there, "region") != here.region.value()) {
    return Distance::kOtherRegion;
  }
  const bool same_zone = string_field(there, "zone") == here.zone.value();
  return same_zone ? Distance::kSameZone : Distance::kOtherZone;
}

const char* reason_of(SubmitResult result) {
  switch (result) {
    case SubmitResult::kOutOfService:
      return "changing";
    case SubmitResult::kWrongRole:
      return "wrong-role";
    case SubmitResult::kAccepted:
    case SubmitResult::kTooLong:
    case SubmitResult::kDuplicate:
      break;
  }
  return "overloaded";
}

/// The arrival of an exported KV cache, if the source still had it.
std::optional<Duration> transfer_of(const Result<http::Response, http::FetchFailure>& fetched) {
  if (fetched.has_error() || fetched.value().head.status != kOk) {
    return std::nullopt;
  }
  const Json body = Json::parse(fetched.value().body, nullptr, false);
  if (!body.is_object() || !body.contains("transfer_ms") || !body["transfer_ms"].is_number()) {
    return std::nullopt;
  }
  return from_seconds(body["transfer_ms"].get<double>() / 1e3);
}

}  // namespace

EngineFront::EngineFront(http::EventLoop& loop, const Clock& clock, http::Client& client,
                         external::WeightStore* weights, const EngineFrontSettings& settings)
    : loop_(loop),
      client_(client),
      settings_(settings),
      front_(loop, settings.listen, settings.fault_seed),
      process_(clock, loop, front_.faults(), weights, settings.process) {
  using Handler = void (EngineFront::*)(const http::Request&, const WriterPointer&);
  const auto bind = [this](Handler handler) {
    return [this, handler](const http::Request& request, const WriterPointer& response) {
      (this->*handler)(request, response);
    };
  };
  front_.route("/v1/completions", bind(&EngineFront::handle_completion));
  front_.route("/v1/chat/completions", bind(&EngineFront::handle_completion));
  front_.route("/order", bind(&EngineFront::handle_order));
  front_.route("/cache-events", bind(&EngineFront::handle_cache_events));
  front_.route("/kv/export", bind(&EngineFront::handle_export));
  front_.route("/cancel", bind(&EngineFront::handle_cancel));
  front_.route("/load", [this](const http::Request&, const WriterPointer& response) {
    handle_load(response);
  });
  front_.route("/status", [this](const http::Request&, const WriterPointer& response) {
    answer_json(response, kOk, external::json_of(process_.status()));
  });
  front_.add_action("crash", [this] { process_.crash(); });
  front_.add_action("forget-fence", [this] { process_.forget_fence(); });
}

EngineFront::~EngineFront() = default;

void EngineFront::handle_completion(const http::Request& request, const WriterPointer& response) {
  const auto read = read_completion(request);
  if (read.has_error()) {
    answer_error(response, kBadRequest, "malformed", read.error().message,
                 {{"x-request-id", std::string(http::find_header(request.headers, "x-request-id"))},
                  {"x-not-run", "1"},
                  {"x-not-run-reason", "malformed"}});
    return;
  }
  const CompletionRequest& completion = read.value();
  if (const char* reason = reason_to_refuse(completion)) {
    refuse(completion, response, reason);
  } else if (settings_.no_cost) {
    answer_at_once(completion, response);
  } else if (completion.kv_source) {
    import_then_start(completion, response);
  } else {
    start_run(completion, response, std::nullopt);
  }
}

bool EngineFront::serves(const std::string& model) const {
  if (settings_.any_model || model.empty()) {
    return true;
  }
  const engine::EngineStatus& status = process_.order_status();
  const std::size_t colon = model.find(':');
  if (!status.model.empty() && model.substr(0, colon) != status.model.value()) {
    return false;
  }
  if (colon == std::string::npos) {
    return true;
  }
  const AdapterName adapter(model.substr(colon + 1));
  return std::find(status.adapters.begin(), status.adapters.end(), adapter) !=
         status.adapters.end();
}

const char* EngineFront::reason_to_refuse(const CompletionRequest& request) const {
  if (draining_) {
    return "draining";
  }
  if (runs_.size() >= settings_.queue_limit) {
    return "overloaded";
  }
  return serves(request.model) ? nullptr : "wrong-model";
}

void EngineFront::refuse(const CompletionRequest& request, const WriterPointer& response,
                         const char* reason) {
  answer_error(
      response, kUnavailable, "not_run", reason,
      {{"x-request-id", request.request_id}, {"x-not-run", "1"}, {"x-not-run-reason", reason}});
}

void EngineFront::answer_at_once(const CompletionRequest& request, const WriterPointer& response) {
  CompletionAnswer answer(request, id().value(), response);
  answer.complete();
}

void EngineFront::import_then_start(const CompletionRequest& request,
                                    const WriterPointer& response) {
  http::ClientRequest call;
  call.endpoint = request.kv_source->endpoint;
  call.method = "POST";
  call.path = "/kv/export";
  call.timeout = kExportTimeout;
  call.body = Json{{"handle", request.kv_source->handle},
                   {"server", settings_.place.server.value()},
                   {"zone", settings_.place.zone.value()},
                   {"region", settings_.place.region.value()}}
                  .dump();
  client_.fetch(std::move(call), [this, request, response](
                                     const Result<http::Response, http::FetchFailure>& fetched) {
    const std::optional<Duration> transfer = transfer_of(fetched);
    if (!transfer) {
      refuse(request, response, "stale-kv");
      return;
    }
    start_run(request, response, transfer);
  });
}

engine_model::SequenceSpec EngineFront::spec_of(const CompletionRequest& request,
                                                SequenceId sequence, bool imported) const {
  engine_model::SequenceSpec spec;
  spec.id = sequence;
  spec.kind = imported               ? engine_model::SequenceKind::kImport
              : request.prefill_only ? engine_model::SequenceKind::kPrefill
                                     : engine_model::SequenceKind::kWhole;
  spec.prompt_tokens = engine::count_prompt_tokens(request.prompt);
  spec.output_tokens = request.output_tokens;
  spec.resume_offset = request.resume_offset;
  spec.priority = request.priority;
  // Without the adapter, as proxies hash it.
  const std::string_view model = std::string_view(request.model).substr(0, request.model.find(':'));
  spec.blocks = engine::prompt_blocks(model, request.prompt);
  return spec;
}

void EngineFront::start_run(const CompletionRequest& request, const WriterPointer& response,
                            std::optional<Duration> import_delay) {
  if (response->closed()) {
    return;
  }
  if (request.resume_offset >= request.output_tokens) {
    // Everything had been delivered but the end.
    answer_at_once(request, response);
    return;
  }
  const SequenceId sequence = next_sequence_++;
  auto& run = runs_[sequence];
  run = std::make_unique<Run>(*this, sequence, request, response);
  const SubmitResult result = process_.submit(spec_of(request, sequence, import_delay.has_value()),
                                              import_delay.value_or(Duration::zero()), *run);
  if (result != SubmitResult::kAccepted) {
    runs_.erase(sequence);
    refuse(request, response, reason_of(result));
  }
}

void EngineFront::end_run(SequenceId sequence) {
  // The run may be on the call stack: it goes when the stack has unwound.
  const auto found = runs_.find(sequence);
  if (found == runs_.end()) {
    return;
  }
  std::shared_ptr<Run> ended = std::move(found->second);
  runs_.erase(found);
  ended->stop_timers();
  loop_.post([ended = std::move(ended)] {});
}

void EngineFront::handle_order(const http::Request& request, const WriterPointer& response) {
  const auto json = read_json(request, response);
  if (!json) {
    return;
  }
  switch (process_.accept(external::order_of(*json))) {
    case OrderVerdict::kAccepted:
      answer_json(response, kAccepted, external::json_of(process_.status()));
      break;
    case OrderVerdict::kStaleFence:
      answer_error(response, kConflict, "stale_fence", "a higher fence has been seen");
      break;
    case OrderVerdict::kBusy:
      answer_error(response, kConflict, "busy", "another order is being carried out");
      break;
    case OrderVerdict::kWrongEngine:
      answer_error(response, kUnprocessable, "wrong_engine", "meant for another engine");
      break;
  }
}

void EngineFront::handle_load(const WriterPointer& response) {
  Json reports = Json::array();
  if (const auto report = process_.load_report()) {
    reports.push_back(external::json_of(*report));
  }
  answer_json(response, kOk, {{"reports", reports}});
}

void EngineFront::handle_cache_events(const http::Request& request, const WriterPointer& response) {
  const std::uint64_t after = external::query_number(request.query, "after").value_or(0);
  const external::CacheEventBatch batch = process_.cache_events(after);
  Json events = Json::array();
  for (const engine::CacheEvent& event : batch.events) {
    events.push_back(external::json_of(event));
  }
  answer_json(response, kOk, {{"incarnation", batch.incarnation.value()}, {"events", events}});
}

EngineFront::Run* EngineFront::find_run(const std::string& request_id_or_handle) {
  for (const auto& [sequence, run] : runs_) {
    if (run->handle() == request_id_or_handle ||
        run->request().request_id == request_id_or_handle) {
      return run.get();
    }
  }
  return nullptr;
}

void EngineFront::handle_export(const http::Request& request, const WriterPointer& response) {
  const auto json = read_json(request, response);
  if (!json) {
    return;
  }
  Run* run = find_run(string_field(*json, "handle"));
  const auto transfer =
      run == nullptr
          ? std::nullopt
          : process_.export_cache(run->sequence(), distance_between(settings_.place, *json));
  if (!transfer) {
    answer_error(response, kNotFound, "stale_kv", "no such KV cache");
    return;
  }
  if (run->request().prefill_only) {
    run->exported();
  }
  answer_json(response, kOk, {{"transfer_ms", to_seconds(*transfer) * 1e3}});
}

void EngineFront::handle_cancel(const http::Request& request, const WriterPointer& response) {
  const auto json = read_json(request, response);
  if (!json) {
    return;
  }
  Run* run = find_run(string_field(*json, "id"));
  if (run == nullptr) {
    answer_error(response, kNotFound, "not_found", "no such request is running");
    return;
  }
  run->cancel();
  answer_json(response, kOk, {{"cancelled", true}});
}

}  // namespace ochrespring::standin
