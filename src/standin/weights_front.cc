#include "standin/weights_front.h"

#include "external/http/json.h"

namespace ochrespring::standin {

using external::Json;

namespace {
constexpr std::uint16_t kOk = 200;
}  // namespace

WeightsFront::WeightsFront(http::EventLoop& loop, const Clock& clock,
                           const WeightsFrontSettings& settings)
    : store_(clock, settings.store), front_(loop, settings.listen, settings.fault_seed) {
  front_.route("/v1/fetches", [this](const http::Request& request, const WriterPointer& response) {
    handle_fetch(request, response);
  });
  front_.route("/v1/statistics", [this](const http::Request&, const WriterPointer& response) {
    answer_json(response, kOk, {{"fetches", store_.fetches()}, {"refused", store_.refused()}});
  });
}

void WeightsFront::handle_fetch(const http::Request& request, const WriterPointer& response) {
  const auto json = read_json(request, response);
  if (!json) {
    return;
  }
  const auto name = json->at("name").get<std::string>();
  const auto span = store_.start(json->at("bytes").get<std::uint64_t>());
  if (!span) {
    answer_rate_limited(response, store_.retry_after());
    return;
  }
  const std::string token = name + "#" + std::to_string(store_.fetches());
  answer_json(response, kOk, external::json_of(external::FetchGrant{token, *span}));
}

}  // namespace ochrespring::standin
