// The weight store over HTTP and JSON, as docs/PLATFORM.md describes it.
#pragma once

#include <utility>

#include "external/weight_store.h"
#include "http/client.h"

namespace ochrespring::external {

/// Used on the loop of `client` only.
class HttpWeightStore final : public WeightStore {
 public:
  HttpWeightStore(http::Client& client, Endpoint endpoint)
      : client_(client), endpoint_(std::move(endpoint)) {}

  void fetch(const std::string& name, std::uint64_t bytes,
             ExternalCallback<FetchGrant> done) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace ochrespring::external
