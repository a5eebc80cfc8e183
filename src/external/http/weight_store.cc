#include "external/http/weight_store.h"

#include <utility>

#include "external/http/errors.h"
#include "external/http/json.h"

namespace ochrespring::external {

void HttpWeightStore::fetch(const std::string& name, std::uint64_t bytes,
                            ExternalCallback<FetchGrant> done) {
  http::ClientRequest request;
  request.endpoint = endpoint_;
  request.method = "POST";
  request.path = "/v1/fetches";
  request.body = Json{{"name", name}, {"bytes", bytes}}.dump();
  client_.fetch(std::move(request), [done = std::move(done)](
                                        const Result<http::Response, http::FetchFailure>& fetched) {
    done(read_answer<FetchGrant>(fetched, fetch_grant_of));
  });
}

}  // namespace ochrespring::external
