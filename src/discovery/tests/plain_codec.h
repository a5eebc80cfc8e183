// Documents of the store in a form of the tests' own.
#pragma once

#include <string>

#include "discovery/fleet_codec.h"

namespace ochrespring::discovery::testing {

/// Values are a number (configuration) or `ready`/`draining` (back ends).
class PlainCodec final : public FleetCodec {
 public:
  const StoreLayout& layout() const override { return layout_; }
  Result<gateway::Configuration, CodecError> read_configuration(
      std::string_view value) const override {
    if (value == "broken") {
      return fail(CodecErrc::kMalformed, "broken");
    }
    gateway::Configuration configuration;
    configuration.version = gateway::ConfigurationVersion(std::stoul(std::string(value)));
    return configuration;
  }
  Result<gateway::Backend, CodecError> read_backend(std::string_view id,
                                                    std::string_view value) const override {
    gateway::Backend backend;
    backend.id = gateway::BackendId(std::string(id));
    backend.draining = value == "draining";
    return backend;
  }

 private:
  StoreLayout layout_{"config", "backends/", "nodes/"};
};

}  // namespace ochrespring::discovery::testing
