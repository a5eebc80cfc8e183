#include "standin/machines_front.h"

#include <utility>

#include "external/http/encoding.h"
#include "external/http/json.h"

namespace ochrespring::standin {

using external::Json;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::string_view kPath = "/v1/machines";
constexpr std::string_view kLeave = "/leave";

void answer_list(const WriterPointer& response, const std::vector<external::Machine>& machines) {
  Json list = Json::array();
  for (const external::Machine& machine : machines) {
    list.push_back(external::json_of(machine));
  }
  answer_json(response, kOk, {{"machines", list}});
}

void answer_done(const WriterPointer& response, bool known) {
  if (known) {
    answer_json(response, kOk, {{"done", true}});
  } else {
    answer_error(response, kNotFound, "not_found", "no such machine");
  }
}

}  // namespace

MachinesFront::MachinesFront(http::EventLoop& loop, const Clock& clock,
                             const MachinesFrontSettings& settings)
    : table_(clock, Duration::zero()),
      lag_(settings.lag),
      front_(loop, settings.listen, settings.fault_seed) {
  for (const external::Machine& machine : settings.machines) {
    table_.put(machine);
  }
  front_.route(std::string(kPath),
               [this](const http::Request& request, const WriterPointer& response) {
                 handle(request, response);
               });
}

void MachinesFront::handle(const http::Request& request, const WriterPointer& response) {
  table_.set_lag(lag_ + front_.faults().settings().lag);
  std::string_view name = std::string_view(request.path).substr(kPath.size());
  name.remove_prefix(name.starts_with('/') ? 1 : 0);
  const bool leave = request.method == "POST" && name.ends_with(kLeave);
  if (leave) {
    name.remove_suffix(kLeave.size());
  }
  const auto decoded = external::percent_decode(name);
  if (!decoded) {
    answer_error(response, kBadRequest, "malformed", "the name's escapes are broken");
  } else if (request.method == "GET") {
    answer_list(response, request.query == "truth=1" ? table_.truth() : table_.list());
  } else if (request.method == "PUT") {
    handle_put(request, *decoded, response);
  } else if (leave) {
    answer_done(response, table_.mark_leaving(*decoded));
  } else if (request.method == "DELETE") {
    answer_done(response, table_.remove(*decoded));
  } else {
    answer_error(response, kBadRequest, "malformed", "no such call");
  }
}

void MachinesFront::handle_put(const http::Request& request, const std::string& name,
                               const WriterPointer& response) {
  auto json = read_json(request, response);
  if (!json) {
    return;
  }
  (*json)["name"] = name;
  table_.put(external::machine_of(*json));
  answer_json(response, kOk, {{"done", true}});
}

}  // namespace ochrespring::standin
