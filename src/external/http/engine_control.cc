#include "external/http/engine_control.h"

#include <utility>

#include "external/http/errors.h"
#include "external/http/json.h"

namespace ochrespring::external {

namespace {

using Fetched = Result<http::Response, http::FetchFailure>;

std::vector<engine::LoadReport> load_reports_of(const Json& json) {
  std::vector<engine::LoadReport> reports;
  for (const Json& report : json.at("reports")) {
    reports.push_back(load_report_of(report));
  }
  return reports;
}

CacheEventBatch cache_events_of(const Json& json) {
  CacheEventBatch batch;
  batch.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
  for (const Json& event : json.at("events")) {
    batch.events.push_back(cache_event_of(event));
  }
  return batch;
}

}  // namespace

http::ClientRequest HttpEngineControl::request(const Endpoint& engine, std::string path) const {
  http::ClientRequest request;
  request.endpoint = engine;
  request.path = std::move(path);
  request.timeout = timeout_;
  return request;
}

void HttpEngineControl::status(const Endpoint& engine,
                               ExternalCallback<engine::EngineStatus> done) {
  client_.fetch(request(engine, "/status"), [done = std::move(done)](const Fetched& fetched) {
    done(read_answer<engine::EngineStatus>(fetched, status_of));
  });
}

void HttpEngineControl::order(const Endpoint& engine, const engine::EngineOrder& order,
                              ExternalCallback<engine::EngineStatus> done) {
  http::ClientRequest call = request(engine, "/order");
  call.method = "POST";
  call.body = json_of(order).dump();
  client_.fetch(std::move(call), [done = std::move(done)](const Fetched& fetched) {
    done(read_answer<engine::EngineStatus>(fetched, status_of));
  });
}

void HttpEngineControl::load(const Endpoint& engine,
                             ExternalCallback<std::vector<engine::LoadReport>> done) {
  client_.fetch(request(engine, "/load"), [done = std::move(done)](const Fetched& fetched) {
    done(read_answer<std::vector<engine::LoadReport>>(fetched, load_reports_of));
  });
}

void HttpEngineControl::cache_events(const Endpoint& engine, std::uint64_t after,
                                     ExternalCallback<CacheEventBatch> done) {
  client_.fetch(request(engine, "/cache-events?after=" + std::to_string(after)),
                [done = std::move(done)](const Fetched& fetched) {
                  done(read_answer<CacheEventBatch>(fetched, cache_events_of));
                });
}

}  // namespace ochrespring::external
