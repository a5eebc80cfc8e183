// The machine list over HTTP and JSON, as docs/PLATFORM.md describes it.
#pragma once

#include <utility>

#include "external/machine_list.h"
#include "http/client.h"

namespace ochrespring::external {

/// Used on the loop of `client` only.
class HttpMachineList final : public MachineList {
 public:
  HttpMachineList(http::Client& client, Endpoint endpoint)
      : client_(client), endpoint_(std::move(endpoint)) {}

  void list(ExternalCallback<std::vector<Machine>> done) override;

 private:
  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace ochrespring::external
