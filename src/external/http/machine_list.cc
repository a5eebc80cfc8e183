#include "external/http/machine_list.h"

#include <utility>

#include "external/http/errors.h"
#include "external/http/json.h"

namespace ochrespring::external {

namespace {

std::vector<Machine> machines_of(const Json& json) {
  std::vector<Machine> machines;
  for (const Json& machine : json.at("machines")) {
    machines.push_back(machine_of(machine));
  }
  return machines;
}

}  // namespace

void HttpMachineList::list(ExternalCallback<std::vector<Machine>> done) {
  http::ClientRequest request;
  request.endpoint = endpoint_;
  request.path = "/v1/machines";
  client_.fetch(std::move(request), [done = std::move(done)](
                                        const Result<http::Response, http::FetchFailure>& fetched) {
    done(read_answer<std::vector<Machine>>(fetched, machines_of));
  });
}

}  // namespace ochrespring::external
